#ifndef STATE_BATCH_CODEC_H_
#define STATE_BATCH_CODEC_H_

#include <string>

#include "absl/status/statusor.h"

namespace tamaracktrail {

struct Batch;

//! Turns batches into authenticated log payloads and back.
//!
//! A payload is a 32-byte HMAC followed by the encoded batch. Thread-safe: it
//! is immutable after construction.
class BatchCodec {
 public:
  //! Precondition: `key` is the fleet's shared key and not empty.
  explicit BatchCodec(std::string key);

  //! Never fails. Returns raw bytes.
  std::string Encode(const Batch& batch) const;

  //! kUnauthenticated where the tag is wrong, kDataLoss where the bytes do not
  //! hold one batch.
  absl::StatusOr<Batch> Decode(const std::string& payload) const;

  //! Digest that the writer's next batch names as `previous`.
  static std::string ChainDigest(const std::string& payload);

 private:
  std::string key_;
};

}  // namespace tamaracktrail

#endif  // STATE_BATCH_CODEC_H_
