#include "protocol/frame_codec.h"

#include <exception>
#include <sstream>
#include <utility>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <glog/logging.h>

#include "protocol/byte_queue.h"
#include "state/digest.h"

namespace tamaracktrail {

namespace {

const char kMagic[] = "TMRK";
constexpr size_t kMagicBytes = 4;
constexpr size_t kVersionBytes = 2;
constexpr size_t kLengthBytes = 4;
constexpr size_t kTagOffset = kMagicBytes + kVersionBytes + kLengthBytes;
constexpr size_t kTagBytes = 32;

std::string EncodeBigEndian(uint64_t value, size_t bytes) {
  std::string out(bytes, '\0');
  for (size_t i = 0; i < bytes; ++i) {
    out[bytes - 1 - i] = static_cast<char>(value >> (8 * i));
  }
  return out;
}

uint64_t DecodeBigEndian(std::string_view data, size_t offset, size_t bytes) {
  uint64_t value = 0;
  for (size_t i = 0; i < bytes; ++i) {
    value = value << 8 | static_cast<unsigned char>(data[offset + i]);
  }
  return value;
}

}  // namespace

FrameCodec::FrameCodec(std::string key) : key_(std::move(key)) {
  CHECK(!key_.empty());
}

std::string FrameCodec::Encode(const PeerMessage& message) const {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  }
  const std::string body = out.str();
  CHECK_LE(body.size(), kMaxBodyBytes);
  return std::string(kMagic, kMagicBytes) +
         EncodeBigEndian(kPeerProtocolVersion, kVersionBytes) +
         EncodeBigEndian(body.size(), kLengthBytes) + HmacSha256(key_, body) +
         body;
}

absl::StatusOr<PeerMessage> FrameCodec::Decode(const std::string& frame) const {
  ByteQueue buf;
  buf.Append(frame);
  absl::StatusOr<std::optional<PeerMessage>> message = TakeFrom(&buf);
  if (!message.ok()) {
    return message.status();
  }
  if (!message->has_value() || !buf.empty()) {
    return absl::OutOfRangeError("frame is cut or has bytes after its end");
  }
  return **std::move(message);
}

absl::StatusOr<std::optional<PeerMessage>> FrameCodec::TakeFrom(
    ByteQueue* buffer) const {
  const std::string_view bytes = buffer->view();
  if (bytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  const absl::StatusOr<size_t> body_bytes = BodyLength(bytes);
  if (!body_bytes.ok()) {
    return body_bytes.status();
  }
  if (bytes.size() < kHeaderBytes + *body_bytes) {
    return std::nullopt;
  }
  const std::string tag(bytes.substr(kTagOffset, kTagBytes));
  const std::string body(bytes.substr(kHeaderBytes, *body_bytes));
  buffer->Consume(kHeaderBytes + *body_bytes);
  if (!DigestsEqual(tag, HmacSha256(key_, body))) {
    return absl::UnauthenticatedError("frame has a wrong tag");
  }
  try {
    std::istringstream in(body);
    cereal::PortableBinaryInputArchive archive(in);
    PeerMessage message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return absl::DataLossError("frame does not decode");
  }
}

absl::StatusOr<size_t> FrameCodec::BodyLength(std::string_view header) const {
  if (header.compare(0, kMagicBytes, kMagic) != 0) {
    return absl::DataLossError("frame does not start with the magic number");
  }
  const uint64_t version = DecodeBigEndian(header, kMagicBytes, kVersionBytes);
  if (version != kPeerProtocolVersion) {
    return absl::FailedPreconditionError("frame is of another version");
  }
  const uint64_t body_bytes =
      DecodeBigEndian(header, kMagicBytes + kVersionBytes, kLengthBytes);
  if (body_bytes > kMaxBodyBytes) {
    return absl::OutOfRangeError("frame is too long");
  }
  return body_bytes;
}

}  // namespace tamaracktrail
