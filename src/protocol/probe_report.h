#ifndef PROTOCOL_PROBE_REPORT_H_
#define PROTOCOL_PROBE_REPORT_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

#include "state/millis.h"

namespace tamaracktrail {

//! Result of the sender's own probe of an endpoint.
struct ProbeReport {
  std::string endpoint;
  //! Time since the probe was sent.
  Millis age;
  //! An EndpointHealth value.
  int32_t health = 0;
  //! Number of requests in progress, as the endpoint reported it.
  int32_t load = 0;

  friend bool operator==(const ProbeReport&, const ProbeReport&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, age, health, load);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_PROBE_REPORT_H_
