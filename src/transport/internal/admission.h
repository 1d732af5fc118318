#ifndef TRANSPORT_INTERNAL_ADMISSION_H_
#define TRANSPORT_INTERNAL_ADMISSION_H_

#include <cstdint>
#include <memory>
#include <string>

#include "coordination/flow_spec.h"
#include "state/millis.h"
#include "transport/internal/entry_call.h"

typedef struct _SoupServerMessage SoupServerMessage;

namespace tamaracktrail {

//! A validated request that is about to enter the entry's queue.
struct Admission {
  SoupServerMessage* message = nullptr;
  std::unique_ptr<EntryCall> call;
  FlowSpec spec;  //!< Complete except for fields that EntryCalls sets.
  int priority = 5;
  Millis max_queue_wait;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_INTERNAL_ADMISSION_H_
