#include "state/fold_clock.h"

#include <algorithm>

namespace tamaracktrail {

void FoldClock::Advance(Millis wall) {
  if (now_ == Millis()) {
    now_ = wall;
  }
  now_ = std::max(now_, std::min(wall, now_ + kMaxStep));
}

}  // namespace tamaracktrail
