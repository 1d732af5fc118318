#ifndef STATE_FENCE_H_
#define STATE_FENCE_H_

#include <cstdint>

namespace tamaracktrail {

//! From here on only the holder's own charges count for requests of an exited
//! entry under the holder's share: appends that are still on their way are
//! void.
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
