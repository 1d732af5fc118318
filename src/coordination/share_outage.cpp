#include "coordination/share_outage.h"

namespace tamaracktrail {

namespace {

//! A shorter loss of the log may be a single slow answer.
constexpr Millis kMinLossDuration{700};

//! Refusals below this rate, or below this fraction of the requests that need a
//! share, affect fewer callers than sending all to other instances would.
constexpr double kMinRefusedPerSecond = 1;
constexpr double kMinRefusedFraction = 0.5;

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
  active_ = active_ || (now - lost_since_ >= kMinLossDuration &&
                        refused >= kMinRefusedPerSecond &&
                        refused >= kMinRefusedFraction *
                                       (refused + granted_.PerSecond(now)));
}

}  // namespace tamaracktrail
