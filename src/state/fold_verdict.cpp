#include "state/fold_verdict.h"

namespace tamaracktrail {

const char* FoldVerdictName(FoldVerdict verdict) {
  switch (verdict) {
    case FoldVerdict::kAccepted:
      return "accepted";
    case FoldVerdict::kRepeat:
      return "repeat";
    case FoldVerdict::kExceedsShare:
      return "exceeds_share";
    case FoldVerdict::kHolderExited:
      return "holder_exited";
    case FoldVerdict::kLostRace:
      return "lost_race";
    case FoldVerdict::kNotApplicable:
      return "not_applicable";
  }
  return "unknown";
}

}  // namespace tamaracktrail
