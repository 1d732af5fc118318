#ifndef PROTOCOL_SETTLE_REQUEST_H_
#define PROTOCOL_SETTLE_REQUEST_H_

#include <cstdint>

#include "state/charge.h"

namespace tamaracktrail {

//! Transfers a charge into the receiver's custody.
struct SettleRequest {
  Charge charge;
  //! Tokens of the reservation that covers the charge.
  int64_t reserved = 0;

  friend bool operator==(const SettleRequest&, const SettleRequest&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(charge, reserved);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_SETTLE_REQUEST_H_
