#ifndef COORDINATION_ENDPOINT_OBSERVATION_H_
#define COORDINATION_ENDPOINT_OBSERVATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/endpoint_health.h"
#include "state/millis.h"

namespace tamaracktrail {

//! State of an endpoint; times are of this instance's clock.
struct EndpointObservation {
  std::string endpoint;
  EndpointHealth health = EndpointHealth::kUnknown;
  int load = 0;         //!< Requests in progress, as reported by the endpoint.
  std::string boot_id;  //!< Changes when the endpoint restarts; may be empty.
  std::vector<std::string> loaded;  //!< Models, adapters and versions.
  Millis as_of;  //!< Lower bound of the time of the observation.

  friend bool operator==(const EndpointObservation&,
                         const EndpointObservation&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_OBSERVATION_H_
