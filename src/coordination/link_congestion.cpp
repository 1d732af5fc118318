#include "coordination/link_congestion.h"

namespace tamaracktrail {

namespace {

//! Timeouts below this rate, or below this part of all attempts, come from
//! endpoints that fell silent.
constexpr double kLeastLatePerSecond = 10;
constexpr double kLeastLatePart = 0.5;

//! Hysteresis: below this rate the link is no longer congested.
constexpr double kFewLatePerSecond = 1;

//! The balancer needs two misses, a second apart, to send callers elsewhere.
constexpr Millis kLeastStay{3000};

}  // namespace

void LinkCongestion::OnAttempt(Millis now, bool unconnected) {
  all_.Add(now, 1);
  if (unconnected) {
    late_.Add(now, 1);
  }
}

void LinkCongestion::OnTick(Millis now) {
  const double late = late_.PerSecond(now);
  if (active_) {
    active_ = now - since_ < kLeastStay || late >= kFewLatePerSecond;
    return;
  }
  active_ = late >= kLeastLatePerSecond &&
            late >= kLeastLatePart * all_.PerSecond(now);
  since_ = now;
}

}  // namespace tamaracktrail
