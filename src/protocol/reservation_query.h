#ifndef PROTOCOL_RESERVATION_QUERY_H_
#define PROTOCOL_RESERVATION_QUERY_H_

#include <cstdint>
#include <vector>

#include <cereal/types/vector.hpp>

namespace tamaracktrail {

//! Asks an entry which of these reservations have ended without a charge. It
//! answers with a ReservationEnd for each of them.
struct ReservationQuery {
  std::vector<uint64_t> attempts;

  friend bool operator==(const ReservationQuery&,
                         const ReservationQuery&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempts);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_RESERVATION_QUERY_H_
