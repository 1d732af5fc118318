#ifndef COORDINATION_CLAIM_BATCH_H_
#define COORDINATION_CLAIM_BATCH_H_

#include <optional>
#include <vector>

#include "state/budget_claim.h"
#include "state/share_lock.h"

namespace tamaracktrail {

//! Records that are appended to the log together.
struct ClaimBatch {
  std::optional<ShareLock> lock;
  std::vector<BudgetClaim> claims;
  //! Written for instances that have not recorded their claims again since the
  //! log was restored; see SubstituteName.
  std::vector<ShareLock> substitute_locks;
  std::vector<BudgetClaim> substitute_claims;
  //! Whether a claim is raised: how much of it is granted depends on the
  //! position of its record in the log.
  bool has_raise = false;

  bool empty() const { return !lock && claims.empty(); }

  friend bool operator==(const ClaimBatch&, const ClaimBatch&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_CLAIM_BATCH_H_
