#ifndef STATE_LEDGER_SNAPSHOT_H_
#define STATE_LEDGER_SNAPSHOT_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Serialized ledger fold that covers all records before an offset.
struct LedgerSnapshot {
  //! First offset that the snapshot does not cover.
  uint64_t next_offset = 0;
  std::string state;

  friend bool operator==(const LedgerSnapshot&,
                         const LedgerSnapshot&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(next_offset, state);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_LEDGER_SNAPSHOT_H_
