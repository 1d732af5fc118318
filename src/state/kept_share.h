#ifndef STATE_KEPT_SHARE_H_
#define STATE_KEPT_SHARE_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Tokens that stay with a holder after its release, because an attempt under
//! its reservation is still accounted for.
struct KeptShare {
  std::string organisation;
  uint64_t attempt = 0;
  int64_t tokens = 0;

  friend bool operator==(const KeptShare&, const KeptShare&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, attempt, tokens);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_KEPT_SHARE_H_
