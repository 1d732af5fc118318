#ifndef COORDINATION_TOKEN_BUCKET_H_
#define COORDINATION_TOKEN_BUCKET_H_

#include "state/millis.h"

namespace tamaracktrail {

//! Returns the tokens of a bucket after `elapsed`, in which its rate changed
//! from `rate_before` to `rate`, both per second. The bucket holds what the
//! rate adds in 100 ms, but at least one token. Thread-safe.
double RefillBucket(double tokens,
                    double rate_before,
                    double rate,
                    Millis elapsed);

//! Requests a second that may be sent to an endpoint whose restriction ended
//! `since` ago: `first` at its end, twofold in each second, so that the load
//! comes back without a wave. Thread-safe.
double ReturnRate(double first, Millis since);

//! A bucket holds what its rate adds in this time, but at least one token.
constexpr double kBurstSeconds = 0.1;

//! A returning endpoint with this rate needs no limit any more.
constexpr double kUnlimitedPerSecond = 50;

}  // namespace tamaracktrail

#endif  // COORDINATION_TOKEN_BUCKET_H_
