#ifndef COORDINATION_ENDPOINT_HEALTH_H_
#define COORDINATION_ENDPOINT_HEALTH_H_

#include <cstdint>

namespace tamaracktrail {

//! State of an endpoint as a probe saw it. Numbers are part of the wire format.
enum class EndpointHealth : int32_t {
  kUnknown = 0,
  kUp = 1,
  kLeaving = 2,  //!< Ends what it has and wants nothing new.
  kDown = 3,
};

//! Name for logs and status.
constexpr const char* EndpointHealthName(EndpointHealth health) {
  switch (health) {
    case EndpointHealth::kUp:
      return "up";
    case EndpointHealth::kLeaving:
      return "leaving";
    case EndpointHealth::kDown:
      return "down";
    default:
      return "unknown";
  }
}

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_HEALTH_H_
