#ifndef PROTOCOL_RECORDS_TO_APPEND_H_
#define PROTOCOL_RECORDS_TO_APPEND_H_

#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "state/record.h"

namespace tamaracktrail {

//! Asks the receiver to append records to an organisation's ledger shard.
struct RecordsToAppend {
  std::string organisation;
  std::vector<Record> records;

  friend bool operator==(const RecordsToAppend&,
                         const RecordsToAppend&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, records);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_RECORDS_TO_APPEND_H_
