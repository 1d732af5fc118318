#ifndef STATE_CALLER_LIMITS_H_
#define STATE_CALLER_LIMITS_H_

#include <cstdint>

#include "state/millis.h"

namespace tamaracktrail {

//! Limits on the size of a caller's requests and on the time that the
//! caller may take to send them.
struct CallerLimits {
  uint32_t max_header_bytes = 16 * 1024;
  uint64_t max_body_bytes = 4 * 1024 * 1024;
  //! Longest wait for the end of a request's headers after its first byte; then
  //! HTTP 408.
  Millis header_timeout{3000};
  //! Longest wait for a request's first byte, and from there to the end of its
  //! body, before the connection is closed.
  Millis idle_timeout{15000};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

}  // namespace tamaracktrail

#endif  // STATE_CALLER_LIMITS_H_
