#ifndef STATE_ABANDON_H_
#define STATE_ABANDON_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! States that an attempt's claim is void because it was never dispatched
//! and never will be.
struct Abandon {
  std::string organisation;
  std::string key;
  uint64_t attempt = 0;

  friend bool operator==(const Abandon&, const Abandon&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, key, attempt);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_ABANDON_H_
