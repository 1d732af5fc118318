#ifndef STATE_DRAW_H_
#define STATE_DRAW_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Moves tokens from the undrawn part of a budget to a holder's share.
struct Draw {
  std::string organisation;
  uint64_t holder = 0;
  //! Tokens requested; the fold grants at most the undrawn ones.
  int64_t tokens = 0;

  friend bool operator==(const Draw&, const Draw&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, holder, tokens);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_DRAW_H_
