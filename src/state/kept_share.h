#ifndef STATE_KEPT_SHARE_H_
#define STATE_KEPT_SHARE_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Tokens that stay in a holder's share after its release, because an
//! instance still accounts for an attempt that they were reserved for.
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
