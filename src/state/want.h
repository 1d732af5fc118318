#ifndef STATE_WANT_H_
#define STATE_WANT_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Asks other keepers for tokens of a budget, of which the holder has too few
//! for its waiting requests.
struct Want {
  std::string organisation;
  uint64_t holder = 0;
  int64_t tokens = 0;  //!< Tokens that are missing.

  friend bool operator==(const Want&, const Want&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, holder, tokens);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_WANT_H_
