#ifndef COORDINATION_ENDPOINT_LOAD_H_
#define COORDINATION_ENDPOINT_LOAD_H_

#include <cstdint>

namespace tamaracktrail {

//! Work that callers have open at one endpoint.
struct EndpointLoad {
  //! Prompt tokens sent whose first event has not come.
  int64_t prompt_tokens = 0;
  //! Requests sent and not answered to the end.
  int32_t open = 0;

  friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(prompt_tokens, open);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_LOAD_H_
