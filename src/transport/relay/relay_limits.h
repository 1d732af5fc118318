#ifndef TRANSPORT_RELAY_RELAY_LIMITS_H_
#define TRANSPORT_RELAY_RELAY_LIMITS_H_

#include "state/millis.h"

namespace tamaracktrail {

//! An answer is due this long before the deadline of the caller or the route,
//! since it still has to reach the caller.
constexpr Millis kDeadlineMargin{20};

//! Bounds of the Retry-After of a refusal.
constexpr Millis kMinRetryAfter{100};
constexpr Millis kMaxRetryAfter{3000};

//! Retry-After by the reason of the refusal: the time after which the condition
//! is likely to have changed.
constexpr Millis kNoEndpointRetryAfter{400};
constexpr Millis kNoConfigRetryAfter{500};
//! The retry goes to another instance, whose share may be larger.
constexpr Millis kNoShareRetryAfter{150};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_RELAY_LIMITS_H_
