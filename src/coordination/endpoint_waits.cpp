#include "coordination/endpoint_waits.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "coordination/token_bucket.h"

namespace tamaracktrail {

namespace {

//! Requests a second that an instance sends at the end of a wait.
constexpr double kFirstPerSecond = 1;

}  // namespace

bool EndpointWaits::OnAsked(Millis now,
                            uint64_t endpoint,
                            Millis wait,
                            double spread) {
  const Millis until = now + std::min(wait, kMaxWait);
  if (until <= now) {
    return false;
  }
  Wait& known = waits_[endpoint];
  if (until <= known.until) {
    return false;
  }
  known = {until, spread, until};
  return true;
}

double EndpointWaits::RateOf(Millis now, const Wait& wait) {
  return now < wait.until ? 0 : ReturnRate(kFirstPerSecond, now - wait.until);
}

double EndpointWaits::TokensOf(Millis now, const Wait& wait) {
  return now < wait.until
             ? 0
             : RefillBucket(wait.tokens, RateOf(wait.updated_at, wait),
                            RateOf(now, wait), now - wait.updated_at);
}

bool EndpointWaits::IsRestricted(Millis now, uint64_t endpoint) const {
  const auto it = waits_.find(endpoint);
  return it != waits_.end() && RateOf(now, it->second) < kUnlimitedPerSecond;
}

bool EndpointWaits::MaySend(Millis now, uint64_t endpoint) const {
  return TimeToNext(now, endpoint) == Millis(0);
}

double EndpointWaits::RatePerSecond(Millis now, uint64_t endpoint) const {
  return IsRestricted(now, endpoint) ? RateOf(now, waits_.at(endpoint))
                                     : std::numeric_limits<double>::infinity();
}

Millis EndpointWaits::TimeToNext(Millis now, uint64_t endpoint) const {
  if (!IsRestricted(now, endpoint)) {
    return {};
  }
  const Wait& wait = waits_.at(endpoint);
  const Millis begin = std::max(now, wait.until);
  const double missing = 1 - TokensOf(begin, wait);
  const Millis refill(static_cast<int64_t>(
      std::ceil(std::max(0.0, missing) / RateOf(begin, wait) * 1000)));
  return begin - now + refill;
}

void EndpointWaits::OnSent(Millis now, uint64_t endpoint) {
  const auto it = waits_.find(endpoint);
  // Requests that were sent before the endpoint asked do not count.
  if (it != waits_.end() && now >= it->second.until) {
    it->second.tokens = TokensOf(now, it->second) - 1;
    it->second.updated_at = now;
  }
}

void EndpointWaits::OnTick(Millis now) {
  std::erase_if(waits_, [&](const auto& it) {
    return RateOf(now, it.second) >= kUnlimitedPerSecond;
  });
}

size_t EndpointWaits::CountWaiting(Millis now) const {
  return static_cast<size_t>(
      std::count_if(waits_.begin(), waits_.end(),
                    [&](const auto& it) { return now < it.second.until; }));
}

}  // namespace tamaracktrail
