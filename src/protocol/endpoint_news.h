#ifndef PROTOCOL_ENDPOINT_NEWS_H_
#define PROTOCOL_ENDPOINT_NEWS_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

#include "state/millis.h"

namespace tamaracktrail {

//! What the sender's own probe has seen of an endpoint.
struct EndpointNews {
  std::string endpoint;
  //! Since the probe was sent.
  Millis age;
  //! An EndpointHealth.
  int32_t health = 0;
  //! Requests in progress that the endpoint reported.
  int32_t load = 0;

  friend bool operator==(const EndpointNews&, const EndpointNews&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, age, health, load);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_ENDPOINT_NEWS_H_
