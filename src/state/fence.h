#ifndef STATE_FENCE_H_
#define STATE_FENCE_H_

#include <cstdint>

namespace tamaracktrail {

//! Makes charges of an exited entry's requests void unless the holder of the
//! charged share appends them itself. Applies to charges after this record, so
//! that pending appends of other writers have no effect.
struct Fence {
  uint64_t holder = 0;
  uint64_t entry = 0;  //!< Incarnation of the exited entry.

  friend bool operator==(const Fence&, const Fence&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(holder, entry);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_FENCE_H_
