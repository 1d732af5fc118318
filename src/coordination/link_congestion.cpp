#include "coordination/link_congestion.h"

namespace tamaracktrail {

namespace {

//! Unconnected attempts below this rate, or below this fraction of all
//! attempts, are attributed to unresponsive endpoints.
constexpr double kMinUnconnectedPerSecond = 10;
constexpr double kMinUnconnectedRatio = 0.5;

//! Below this rate of unconnected attempts the link is no longer congested. Far
//! below kMinUnconnectedPerSecond, as hysteresis.
constexpr double kClearUnconnectedPerSecond = 1;

//! Minimum duration of the state. The load balancer needs two failed checks,
//! one second apart, to send callers to other instances.
constexpr Millis kMinActiveTime{3000};

}  // namespace

void LinkCongestion::OnAttempt(Millis now, bool unconnected) {
  attempts_.Add(now, 1);
  if (unconnected) {
    unconnected_.Add(now, 1);
  }
}

void LinkCongestion::OnTick(Millis now) {
  const double unconnected_per_second = unconnected_.PerSecond(now);
  if (active_) {
    active_ = now - active_since_ < kMinActiveTime ||
              unconnected_per_second >= kClearUnconnectedPerSecond;
    return;
  }
  active_ =
      unconnected_per_second >= kMinUnconnectedPerSecond &&
      unconnected_per_second >= kMinUnconnectedRatio * attempts_.PerSecond(now);
  active_since_ = now;
}

}  // namespace tamaracktrail
