#ifndef PROTOCOL_RECORDS_NOTE_H_
#define PROTOCOL_RECORDS_NOTE_H_

#include <cstdint>
#include <vector>

#include <cereal/types/vector.hpp>

#include "state/record.h"

namespace tamaracktrail {

//! Records for the receiver to append to a ledger shard.
struct RecordsNote {
  uint32_t shard = 0;
  std::vector<Record> records;

  friend bool operator==(const RecordsNote&, const RecordsNote&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(shard, records);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_RECORDS_NOTE_H_
