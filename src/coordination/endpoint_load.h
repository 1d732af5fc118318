#ifndef COORDINATION_ENDPOINT_LOAD_H_
#define COORDINATION_ENDPOINT_LOAD_H_

#include <cstdint>

namespace tamaracktrail {

//! Open work at one endpoint.
struct EndpointLoad {
  //! Uncached prompt tokens of requests whose first event has not arrived.
  int64_t uncached_tokens = 0;
  //! Requests sent that have no complete answer yet.
  int32_t open = 0;

  friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(uncached_tokens, open);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_LOAD_H_
