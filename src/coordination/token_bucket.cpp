#include "coordination/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace tamaracktrail {

namespace {

constexpr Millis kReturnDoubling{1000};

}  // namespace

double RefillBucket(double tokens,
                    double rate_before,
                    double rate,
                    Millis elapsed) {
  // While a rate grows, the mean of its values at both ends is close enough.
  const double elapsed_s = static_cast<double>(elapsed.count()) / 1000;
  return std::min(tokens + (rate_before + rate) / 2 * elapsed_s,
                  std::max(1.0, rate * kBurstSeconds));
}

double ReturnRate(double first, Millis since) {
  return first * std::exp2(static_cast<double>(since.count()) /
                           static_cast<double>(kReturnDoubling.count()));
}

}  // namespace tamaracktrail
