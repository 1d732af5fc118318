#ifndef PROTOCOL_SETTLE_REPLY_H_
#define PROTOCOL_SETTLE_REPLY_H_

#include <cstdint>

namespace tamaracktrail {

//! Answer to a SettleRequest: the sender of this reply has the charge in its
//! custody and appends it until the log confirms it.
struct SettleReply {
  uint64_t attempt = 0;

  friend bool operator==(const SettleReply&, const SettleReply&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_SETTLE_REPLY_H_
