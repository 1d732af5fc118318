#include "coordination/rate_meter.h"

#include <cmath>

namespace tamaracktrail {

void RateMeter::Add(Millis now, int64_t amount) {
  per_second_ *= Decay(now);
  updated_at_ = now;
  per_second_ += static_cast<double>(amount * kSecond.count()) /
                 static_cast<double>(time_constant_.count());
}

double RateMeter::PerSecond(Millis now) const {
  return per_second_ * Decay(now);
}

double RateMeter::Decay(Millis now) const {
  const Millis age = now - updated_at_;
  return std::exp(-static_cast<double>(age.count()) /
                  static_cast<double>(time_constant_.count()));
}

}  // namespace tamaracktrail
