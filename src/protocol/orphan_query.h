#ifndef PROTOCOL_ORPHAN_QUERY_H_
#define PROTOCOL_ORPHAN_QUERY_H_

#include <cstdint>

namespace tamaracktrail {

//! Asks which reservations of an exited holder the receiver still has open.
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
