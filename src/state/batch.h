#ifndef STATE_BATCH_H_
#define STATE_BATCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "state/millis.h"
#include "state/record.h"

namespace tamaracktrail {

//! Unit of append: records of one writer on one stream.
//!
//! The pair (writer, sequence) identifies a repeated append, and
//! `previous_digest` links each batch to the writer's preceding one in a hash
//! chain.
struct Batch {
  //! Incarnation of the instance that appends the batch, or a random id for a
  //! command.
  uint64_t writer = 0;
  uint64_t sequence = 0;  //!< Starts at 1, without gaps.
  //! SHA-256 of the encoded payload of the writer's preceding batch; empty for
  //! the first.
  std::string previous_digest;
  Millis wall;  //!< Wall-clock time of the writer; advances the fold clock.
  std::vector<Record> records;

  friend bool operator==(const Batch&, const Batch&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(writer, sequence, previous_digest, wall, records);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_BATCH_H_
