#ifndef STATE_FOLD_CONTEXT_H_
#define STATE_FOLD_CONTEXT_H_

#include <cstdint>

#include "state/millis.h"

namespace tamaracktrail {

//! Position and origin of a record: all that a fold may use besides the record
//! itself.
struct FoldContext {
  uint64_t offset = 0;
  uint64_t writer = 0;
  Millis wall;  //!< Wall-clock time of the batch.

  friend bool operator==(const FoldContext&, const FoldContext&) = default;
};

}  // namespace tamaracktrail

#endif  // STATE_FOLD_CONTEXT_H_
