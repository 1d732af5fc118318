#ifndef PROTOCOL_RESERVE_REPLY_H_
#define PROTOCOL_RESERVE_REPLY_H_

#include <cstdint>

namespace tamaracktrail {

struct ReserveReply {
  uint64_t attempt = 0;
  //! A ResultCode; kOk if the tokens are reserved.
  int32_t code = 0;
  //! Incarnation whose share covers the reservation.
  uint64_t holder = 0;
  int64_t tokens = 0;

  friend bool operator==(const ReserveReply&, const ReserveReply&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt, code, holder, tokens);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_RESERVE_REPLY_H_
