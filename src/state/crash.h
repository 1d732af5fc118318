#ifndef STATE_CRASH_H_
#define STATE_CRASH_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! States that an endpoint crashed while it ran a request.
struct Crash {
  //! Hash of the request's content.
  std::string content;
  std::string endpoint;
  std::string key;
  uint64_t attempt = 0;

  friend bool operator==(const Crash&, const Crash&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(content, endpoint, key, attempt);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_CRASH_H_
