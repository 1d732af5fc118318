#ifndef STATE_BATCH_CODEC_H_
#define STATE_BATCH_CODEC_H_

#include <string>

#include "absl/status/statusor.h"

namespace tamaracktrail {

struct Batch;

//! Encodes batches as authenticated log payloads and decodes them.
//!
//! A payload is a 32-byte HMAC-SHA-256 tag followed by the encoded batch.
//! Thread-safe, since it is immutable after construction.
class BatchCodec {
 public:
  //! Precondition: `key` is the fleet's shared key and not empty.
  explicit BatchCodec(std::string key);

  //! Returns the payload as raw bytes. Never fails.
  std::string Encode(const Batch& batch) const;

  //! Returns kUnauthenticated if the tag does not match, and kDataLoss if the
  //! payload is too short or its body does not decode as a batch.
  absl::StatusOr<Batch> Decode(const std::string& payload) const;

  //! Digest of a payload that the writer's next batch carries as `previous`.
  static std::string ChainDigest(const std::string& payload);

 private:
  std::string key_;
};

}  // namespace tamaracktrail

#endif  // STATE_BATCH_CODEC_H_
