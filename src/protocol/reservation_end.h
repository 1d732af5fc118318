#ifndef PROTOCOL_RESERVATION_END_H_
#define PROTOCOL_RESERVATION_END_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Ends a reservation without a charge.
struct ReservationEnd {
  std::string organisation;
  std::string key;
  uint64_t attempt = 0;
  uint64_t holder = 0;
  //! The attempt was never dispatched; its run claim, if any, is abandoned.
  bool abandon = false;

  friend bool operator==(const ReservationEnd&,
                         const ReservationEnd&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, key, attempt, holder, abandon);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_RESERVATION_END_H_
