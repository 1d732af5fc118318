#ifndef PROTOCOL_ORPHAN_QUERY_H_
#define PROTOCOL_ORPHAN_QUERY_H_

#include <cstdint>

namespace tamaracktrail {

//! Asks a peer what it still accounts for after an instance's exit: open
//! reservations and unconfirmed charges under its shares (orphans), and charges
//! of its requests that are in the peer's custody.
struct OrphanQuery {
  uint64_t holder = 0;  //!< Incarnation that has exited.

  friend bool operator==(const OrphanQuery&, const OrphanQuery&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(holder);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_ORPHAN_QUERY_H_
