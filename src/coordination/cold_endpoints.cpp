#include "coordination/cold_endpoints.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/token_bucket.h"

namespace tamaracktrail {

namespace {

//! Instances may read the list of instances at different times and then choose
//! different senders. The bound is kept while this many more send.
constexpr double kSpareSenders = 2;

//! Rate from which each instance returns after the cold time at least. All 390
//! instances together then begin with 4 requests a second.
constexpr double kMinReturnPerSecond = 0.01;

//! Divides what a cold endpoint tolerates. In a second, senders s with the rate
//! r together send at most the larger of s and 0.1 r, which their buckets hold,
//! and r more.
EndpointLimits::Division Divide(double per_second,
                                const ColdEndpoints::Bounds& bounds) {
  const double bound = per_second * bounds.overage + bounds.tolerance;
  EndpointLimits::Division division;
  division.per_second = std::min(per_second, bound / (1 + kBurstSeconds));
  division.senders =
      std::max(1.0, std::floor(bound - division.per_second) - kSpareSenders);
  if (division.senders + division.per_second > bound) {
    division.per_second = std::max(bound - division.senders, bound / 2);
  }
  return division;
}

EndpointLimits::Rules MakeRules(const ColdEndpoints::Bounds& bounds) {
  EndpointLimits::Rules rules;
  rules.divide = [bounds](double per_second) {
    return Divide(per_second, bounds);
  };
  // A cold time ends by itself, so its end cannot be missed.
  rules.stale_fraction = 0;
  rules.min_return_per_second = kMinReturnPerSecond;
  return rules;
}

}  // namespace

ColdEndpoints::ColdEndpoints() : limits_(MakeRules(Bounds())) {}

void ColdEndpoints::SetBounds(const Bounds& bounds) {
  limits_.SetRules(MakeRules(bounds));
}

void ColdEndpoints::SetInstances(std::vector<uint64_t> instances,
                                 uint64_t self) {
  limits_.SetInstances(std::move(instances), self);
}

void ColdEndpoints::SetServices(Millis now,
                                std::map<std::string, double> per_second) {
  if (per_second == per_second_) {
    return;
  }
  per_second_ = std::move(per_second);
  for (const auto& [endpoint, cold] : cold_) {
    SetLimit(now, endpoint);
  }
}

void ColdEndpoints::OnEntry(Millis now,
                            uint64_t endpoint,
                            const std::string& service,
                            Millis remaining) {
  if (remaining <= Millis(0)) {
    cold_.erase(endpoint);
  } else {
    cold_[endpoint] = {service, now + std::min(remaining, kMaxCold)};
  }
  SetLimit(now, endpoint);
}

void ColdEndpoints::SetLimit(Millis now, uint64_t endpoint) {
  std::optional<double> limit;
  const auto cold = cold_.find(endpoint);
  if (cold != cold_.end()) {
    const auto service = per_second_.find(cold->second.service);
    if (service != per_second_.end() && service->second > 0) {
      limit = service->second;
    }
  }
  limits_.Set(now, endpoint, limit);
}

void ColdEndpoints::Forget(uint64_t endpoint) {
  cold_.erase(endpoint);
  limits_.Forget(endpoint);
}

void ColdEndpoints::OnTick(Millis now) {
  for (auto it = cold_.begin(); it != cold_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    const uint64_t endpoint = it->first;
    it = cold_.erase(it);
    SetLimit(now, endpoint);
  }
  limits_.OnTick(now);
}

}  // namespace tamaracktrail
