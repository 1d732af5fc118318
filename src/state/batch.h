#ifndef STATE_BATCH_H_
#define STATE_BATCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "state/millis.h"
#include "state/record.h"

namespace tamaracktrail {

//! The unit of one append: records of one writer on one stream.
//!
//! The pair (writer, sequence) makes a repeated append recognizable, and
//! `previous` chains each batch to the writer's one before.
struct Batch {
  uint64_t writer = 0;    //!< Incarnation of the writer.
  uint64_t sequence = 0;  //!< From 1, without gaps.
  std::string previous;   //!< Digest of the batch before; empty for the first.
  Millis wall;            //!< Wall clock of the writer, for people.
  std::vector<Record> records;

  friend bool operator==(const Batch&, const Batch&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(writer, sequence, previous, wall, records);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_BATCH_H_
