#ifndef PROTOCOL_CHARGE_CONFIRMED_H_
#define PROTOCOL_CHARGE_CONFIRMED_H_

#include <cstdint>

namespace tamaracktrail {

//! Reports that the log holds the charge of an attempt, or has voided it.
struct ChargeConfirmed {
  uint64_t attempt = 0;

  friend bool operator==(const ChargeConfirmed&,
                         const ChargeConfirmed&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_CHARGE_CONFIRMED_H_
