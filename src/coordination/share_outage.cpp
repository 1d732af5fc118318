#include "coordination/share_outage.h"

namespace tamaracktrail {

namespace {

//! A log that is lost for less may only have been slow to answer once.
constexpr Millis kLeastLoss{700};

//! Refusals below this rate, or below this part of the requests that need a
//! share, harm fewer callers than moving all of them would.
constexpr double kLeastRefusedPerSecond = 1;
constexpr double kLeastRefusedPart = 0.5;

}  // namespace

void ShareOutage::OnTick(Millis now, bool lost) {
  if (!lost) {
    lost_since_ = {};
    active_ = false;
    return;
  }
  if (lost_since_ == Millis(0)) {
    lost_since_ = now;
  }
  const double refused = refused_.PerSecond(now);
  active_ =
      active_ ||
      (now - lost_since_ >= kLeastLoss && refused >= kLeastRefusedPerSecond &&
       refused >= kLeastRefusedPart * (refused + granted_.PerSecond(now)));
}

}  // namespace tamaracktrail
