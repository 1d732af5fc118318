#ifndef COORDINATION_CLAIM_BATCH_H_
#define COORDINATION_CLAIM_BATCH_H_

#include <optional>
#include <vector>

#include "state/budget_beat.h"
#include "state/budget_claim.h"

namespace tamaracktrail {

//! Records that go onto the log together.
struct ClaimBatch {
  std::optional<BudgetBeat> beat;
  std::vector<BudgetClaim> claims;
  bool raises = false;  //!< The log's order decides what is granted.

  bool empty() const { return !beat && claims.empty(); }

  friend bool operator==(const ClaimBatch&, const ClaimBatch&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_CLAIM_BATCH_H_
