#ifndef STATE_FENCE_H_
#define STATE_FENCE_H_

#include <cstdint>

namespace tamaracktrail {

//! Fences an exited entry under a holder's share: from this offset on, only
//! charges that the holder itself appends count for the entry's requests.
//! Pending appends of other writers become void.
struct Fence {
  uint64_t holder = 0;
  uint64_t entry = 0;

  friend bool operator==(const Fence&, const Fence&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(holder, entry);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_FENCE_H_
