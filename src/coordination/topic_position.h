#ifndef COORDINATION_TOPIC_POSITION_H_
#define COORDINATION_TOPIC_POSITION_H_

#include <compare>
#include <cstdint>

namespace tamaracktrail {

//! A position in one topic of the store. All instances order positions alike,
//! so what was read up to a higher position is newer, whoever read it.
//! Thread-safe, as a value.
struct TopicPosition {
  //! How often the store came back from an older copy; offsets of different
  //! generations cannot be compared.
  int64_t generation = 0;
  int64_t offset = 0;  //!< All records before it are taken into account.

  friend auto operator<=>(const TopicPosition&, const TopicPosition&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(generation, offset);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_TOPIC_POSITION_H_
