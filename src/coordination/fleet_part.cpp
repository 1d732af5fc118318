#include "coordination/fleet_part.h"

#include <algorithm>

namespace tamaracktrail {

namespace {

//! Part of an instance that is in doubt, of what it would have otherwise. If a
//! fleet grows while none of its lists is current, the parts of the old
//! instances and those of the new ones then add up to 1.25.
constexpr double kDoubtFraction = 0.25;

//! When a fleet starts for the first time, all instances have registered within
//! this time of each other.
constexpr Millis kFirstStartSpread{2000};

//! Least time for which a list counts. Lists are read every 3 s, and the store
//! may be out of reach for some seconds.
constexpr Millis kMinListLifetime{20000};

}  // namespace

Millis FleetPart::MaxAge() const {
  return std::max(window_ * 2, kMinListLifetime);
}

void FleetPart::OnRegistered(Millis now) {
  if (!registered_at_) {
    registered_at_ = now;
  }
}

void FleetPart::OnCounted(Millis as_of, int instances) {
  counted_at_ = std::max(counted_at_, as_of);
  instances_ = std::max(instances_.value_or(1), instances);
}

std::optional<Millis> FleetPart::AgeOfCount(Millis now) const {
  return instances_ ? std::optional<Millis>(now - counted_at_) : std::nullopt;
}

bool FleetPart::IsCountedByAll(Millis now) const {
  if (named_before_) {
    return true;
  }
  if (!registered_at_) {
    return false;
  }
  return first_start_ ? counted_at_ >= *registered_at_ + kFirstStartSpread
                      : now >= *registered_at_ + MaxAge();
}

bool FleetPart::IsCertain(Millis now) const {
  return instances_ && now - counted_at_ <= MaxAge() && IsCountedByAll(now);
}

double FleetPart::Fraction(Millis now) const {
  if (!instances_) {
    return 0;
  }
  return (IsCertain(now) ? 1 : kDoubtFraction) / *instances_;
}

bool FleetPart::MayUseAtOnce(Millis now) const {
  return now - started_at_ >= window_ && IsCertain(now);
}

}  // namespace tamaracktrail
