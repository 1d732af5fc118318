#ifndef COORDINATION_RATE_METER_H_
#define COORDINATION_RATE_METER_H_

#include <cstdint>

#include "state/millis.h"

namespace tamaracktrail {

//! Exponentially smoothed rate of an amount. Not thread-safe.
class RateMeter {
 public:
  explicit RateMeter(Millis time_constant) : time_constant_(time_constant) {}

  //! Precondition: `now` is not before that of an earlier call.
  void Add(Millis now, int64_t amount);

  //! Returns the amount per second. Precondition: `now` is not before that of
  //! the last `Add`.
  double PerSecond(Millis now) const;

 private:
  double Decay(Millis now) const;

  Millis time_constant_;
  Millis updated_at_;
  double per_second_ = 0;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_RATE_METER_H_
