#ifndef STATE_RETURN_H_
#define STATE_RETURN_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Moves tokens from a holder's share back to the undrawn part of the budget.
struct Return {
  std::string organisation;
  uint64_t holder = 0;
  int64_t tokens = 0;

  friend bool operator==(const Return&, const Return&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, holder, tokens);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_RETURN_H_
