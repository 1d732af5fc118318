#ifndef STATE_RELEASE_H_
#define STATE_RELEASE_H_

#include <cstdint>
#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "state/kept_share.h"

namespace tamaracktrail {

//! Returns the shares of an exited holder to the undrawn part, except for the
//! tokens that other instances still account for.
struct Release {
  uint64_t holder = 0;
  std::string evidence;         //!< Text for the audit; not parsed.
  std::vector<KeptShare> kept;  //!< Tokens that stay in the holder's shares.

  friend bool operator==(const Release&, const Release&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(holder, evidence, kept);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_RELEASE_H_
