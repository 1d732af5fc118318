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
  int capacity = 1;  //!< Requests that it runs concurrently at full speed.
  //! The endpoint refuses orders with an outdated fencing number.
  bool checks_fencing = false;

  friend bool operator==(const EndpointSpec&, const EndpointSpec&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_SPEC_H_
