#ifndef TRANSPORT_INTERNAL_ENTRY_CALL_H_
#define TRANSPORT_INTERNAL_ENTRY_CALL_H_

#include <cstdint>
#include <memory>
#include <string>

#include "coordination/request_flow.h"
#include "protocol/model_call.h"
#include "state/millis.h"
#include "transport/internal/caller_stream.h"
#include "transport/internal/upstream_call.h"

namespace tamaracktrail {

//! One request that an entry has open. Belongs to the entry's task.
struct EntryCall {
  uint64_t attempt = 0;
  std::unique_ptr<CallerStream> caller;
  std::unique_ptr<RequestFlow> flow;
  std::unique_ptr<UpstreamCall> upstream;

  bool model_call = true;
  ModelCall model;     //!< For a model call.
  std::string method;  //!< For a plain call.
  std::string path;    //!< At the endpoint.
  std::string body;
  std::string content_type;
  int priority = 5;

  Millis since;
  Millis first_chunk_at;
  std::string text;  //!< Collected answer of a call that is not streamed.
  std::string
      final_event;  //!< Usage event, held back until the charge is safe.
  UpstreamEvent end;
  std::string busy_endpoint;  //!< Counted as in flight in the endpoint table.
  Millis busy_since;
  Charge charge;  //!< Of the latest settlement.
  bool settled = false;
  bool queued = true;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_INTERNAL_ENTRY_CALL_H_
