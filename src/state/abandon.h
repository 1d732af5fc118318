#ifndef STATE_ABANDON_H_
#define STATE_ABANDON_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Withdraws the run claim of an attempt that was never dispatched and never
//! will be. It takes effect whether it comes before or after the claim.
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
