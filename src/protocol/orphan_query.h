#ifndef PROTOCOL_ORPHAN_QUERY_H_
#define PROTOCOL_ORPHAN_QUERY_H_

#include <cstdint>

namespace tamaracktrail {

//! Asks a peer which reservations under an exited holder it still has open.
struct OrphanQuery {
  uint64_t holder = 0;

  friend bool operator==(const OrphanQuery&, const OrphanQuery&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(holder);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_ORPHAN_QUERY_H_
