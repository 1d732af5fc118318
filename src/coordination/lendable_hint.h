#ifndef COORDINATION_LENDABLE_HINT_H_
#define COORDINATION_LENDABLE_HINT_H_

#include <cstdint>

namespace tamaracktrail {

//! What an instance could lend of an organisation's budget, for its peers.
struct LendableHint {
  uint32_t organisation = 0;  //!< Low half of the hash of the name.
  uint8_t log2_tokens = 0;    //!< Rounded down.

  int64_t tokens() const { return int64_t{1} << log2_tokens; }

  friend bool operator==(const LendableHint&, const LendableHint&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, log2_tokens);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_LENDABLE_HINT_H_
