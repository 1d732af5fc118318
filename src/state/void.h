#ifndef STATE_VOID_H_
#define STATE_VOID_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Voids the charge of an attempt whose answer was withheld. It takes effect
//! whether it comes before or after the charge.
struct Void {
  std::string organisation;
  std::string key;
  uint64_t attempt = 0;

  friend bool operator==(const Void&, const Void&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, key, attempt);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_VOID_H_
