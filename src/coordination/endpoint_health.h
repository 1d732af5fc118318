#ifndef COORDINATION_ENDPOINT_HEALTH_H_
#define COORDINATION_ENDPOINT_HEALTH_H_

#include <cstdint>

namespace tamaracktrail {

//! Health of an endpoint, as probed. The values are part of the wire format.
enum class EndpointHealth : int32_t {
  kUnknown = 0,
  kUp = 1,
  kDraining = 2,  //!< Finishes its requests, accepts no new ones.
  kDown = 3,
};

//! Returns the name for logs and status output.
constexpr const char* EndpointHealthName(EndpointHealth health) {
  switch (health) {
    case EndpointHealth::kUp:
      return "up";
    case EndpointHealth::kDraining:
      return "leaving";
    case EndpointHealth::kDown:
      return "down";
    default:
      return "unknown";
  }
}

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_HEALTH_H_
