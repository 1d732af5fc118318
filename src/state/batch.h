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
//! The pair (writer, sequence) identifies a repeated append, and `previous`
//! links each batch to the writer's preceding one in a hash chain.
struct Batch {
  uint64_t writer = 0;    //!< Incarnation of the writer.
  uint64_t sequence = 0;  //!< Starts at 1, without gaps.
  //! Digest of the preceding batch; empty for the first.
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
