#include "state/batch_codec.h"

#include <exception>
#include <sstream>
#include <utility>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <glog/logging.h>

#include "state/batch.h"
#include "state/digest.h"

namespace tamaracktrail {

namespace {

constexpr size_t kTagBytes = 32;

}  // namespace

BatchCodec::BatchCodec(std::string key) : key_(std::move(key)) {
  CHECK(!key_.empty());
}

std::string BatchCodec::Encode(const Batch& batch) const {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(batch);
  }
  const std::string body = out.str();
  return HmacSha256(key_, body) + body;
}

absl::StatusOr<Batch> BatchCodec::Decode(const std::string& payload) const {
  if (payload.size() <= kTagBytes) {
    return absl::DataLossError(
        "batch payload has no bytes after its 32-byte tag");
  }
  const std::string tag = payload.substr(0, kTagBytes);
  const std::string body = payload.substr(kTagBytes);
  if (!DigestsEqual(tag, HmacSha256(key_, body))) {
    return absl::UnauthenticatedError("batch tag does not match the fleet key");
  }
  try {
    std::istringstream in(body);
    cereal::PortableBinaryInputArchive archive(in);
    Batch batch;
    archive(batch);
    return batch;
  } catch (const std::exception&) {
    return absl::DataLossError("batch body does not decode");
  }
}

std::string BatchCodec::ChainDigest(const std::string& payload) {
  return Sha256(payload);
}

}  // namespace tamaracktrail
