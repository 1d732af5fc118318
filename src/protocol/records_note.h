#ifndef PROTOCOL_RECORDS_NOTE_H_
#define PROTOCOL_RECORDS_NOTE_H_

#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "state/record.h"

namespace tamaracktrail {

//! Asks the receiver to append records to an organisation's ledger shard.
struct RecordsNote {
  std::string organisation;
  std::vector<Record> records;

  friend bool operator==(const RecordsNote&, const RecordsNote&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, records);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_RECORDS_NOTE_H_
