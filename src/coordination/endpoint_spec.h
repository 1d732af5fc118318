#ifndef COORDINATION_ENDPOINT_SPEC_H_
#define COORDINATION_ENDPOINT_SPEC_H_

#include <string>

namespace tamaracktrail {

//! An endpoint as the configuration declares it.
struct EndpointSpec {
  std::string name;
  std::string address;  //!< "IP:port".
  std::string service;
  std::string data_centre;
  int capacity = 1;             //!< Concurrent requests at full speed.
  bool checks_fencing = false;  //!< Refuses orders with an old fencing number.

  friend bool operator==(const EndpointSpec&, const EndpointSpec&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_SPEC_H_
