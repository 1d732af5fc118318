#ifndef TRANSPORT_RELAY_RELAY_LIMITS_H_
#define TRANSPORT_RELAY_RELAY_LIMITS_H_

#include "state/millis.h"

namespace tamaracktrail {

//! The answer is due this long before the caller or the route gives up, since
//! it still has to reach the caller.
constexpr Millis kEndMargin{20};

//! Shortest and longest wait that a refused caller is told.
constexpr Millis kLeastRetryAfter{100};
constexpr Millis kMostRetryAfter{3000};

//! A refused caller comes back when about this much has changed. It comes to
//! another instance, whose share may be larger.
constexpr Millis kNoEndpointWait{400};
constexpr Millis kNoConfigWait{500};
constexpr Millis kNoShareWait{150};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_RELAY_LIMITS_H_
