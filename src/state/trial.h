#ifndef STATE_TRIAL_H_
#define STATE_TRIAL_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Claims the single further attempt at content that has crashed an endpoint.
//! The first claim wins.
struct Trial {
  //! Hash of the request's content.
  std::string content;
  uint64_t attempt = 0;
  //! Incarnation of the instance that serves the caller.
  uint64_t entry = 0;

  friend bool operator==(const Trial&, const Trial&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(content, attempt, entry);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_TRIAL_H_
