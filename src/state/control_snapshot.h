#ifndef STATE_CONTROL_SNAPSHOT_H_
#define STATE_CONTROL_SNAPSHOT_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Serialized control fold that covers all records before an offset.
struct ControlSnapshot {
  //! First offset that the snapshot does not cover.
  uint64_t next_offset = 0;
  std::string state;

  friend bool operator==(const ControlSnapshot&,
                         const ControlSnapshot&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(next_offset, state);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_CONTROL_SNAPSHOT_H_
