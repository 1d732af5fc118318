#ifndef STATE_APPLIED_BATCH_H_
#define STATE_APPLIED_BATCH_H_

#include <cstdint>
#include <vector>

#include "state/batch.h"
#include "state/fold_verdict.h"

namespace tamaracktrail {

//! A batch that a stream view has applied to its fold, with one verdict per
//! record.
struct AppliedBatch {
  uint64_t offset = 0;
  Batch batch;
  std::vector<FoldVerdict> verdicts;

  friend bool operator==(const AppliedBatch&, const AppliedBatch&) = default;
};

}  // namespace tamaracktrail

#endif  // STATE_APPLIED_BATCH_H_
