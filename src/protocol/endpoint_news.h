#ifndef PROTOCOL_ENDPOINT_NEWS_H_
#define PROTOCOL_ENDPOINT_NEWS_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

#include "state/millis.h"

namespace tamaracktrail {

//! Result of the sender's own probe of an endpoint.
struct EndpointNews {
  std::string endpoint;
  //! Time since the probe was sent.
  Millis age;
  //! An EndpointHealth value.
  int32_t health = 0;
  //! Number of requests in progress, as the endpoint reported it.
  int32_t load = 0;

  friend bool operator==(const EndpointNews&, const EndpointNews&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, age, health, load);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_ENDPOINT_NEWS_H_
