#ifndef PROTOCOL_FRAME_CODEC_H_
#define PROTOCOL_FRAME_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "protocol/peer_message.h"

namespace tamaracktrail {

class ByteQueue;

constexpr uint16_t kPeerProtocolVersion = 1;

//! Encodes peer messages as authenticated frames.
//!
//! Frame: magic (4 bytes), version (2), body length (4), HMAC-SHA-256 of the
//! body (32), body; integers in network order. Thread-safe: it is immutable
//! after construction.
class FrameCodec {
 public:
  static constexpr size_t kHeaderBytes = 42;
  //! Longest body that is sent or accepted. Encode() stops the process above
  //! it.
  static constexpr size_t kMaxBodyBytes = 4 * 1024 * 1024;

  //! Precondition: `key` is the fleet's shared key and not empty.
  explicit FrameCodec(std::string key);

  //! Precondition: the body is not longer than kMaxBodyBytes.
  std::string Encode(const PeerMessage& message) const;

  //! Decodes a datagram, which must hold exactly one frame. Errors:
  //! kOutOfRange: truncated or too long; kFailedPrecondition: another protocol
  //! version; kUnauthenticated: wrong HMAC; kDataLoss: wrong magic number, or
  //! the body cannot be decoded.
  absl::StatusOr<PeerMessage> Decode(const std::string& frame) const;

  //! Decodes the first frame of a stream and removes it from `buffer`. Returns
  //! nullopt if the frame is incomplete. The stream is unusable after an error;
  //! the errors are those of Decode.
  absl::StatusOr<std::optional<PeerMessage>> TakeFrom(ByteQueue* buffer) const;

 private:
  //! Body length that a header declares.
  absl::StatusOr<size_t> BodyLength(std::string_view header) const;

  std::string key_;
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_FRAME_CODEC_H_
