#include "state/digest.h"

#include <glib.h>
#include <xxhash.h>

#include <memory>

#include "absl/strings/escaping.h"
#include "absl/strings/str_format.h"

namespace tamaracktrail {

namespace {

constexpr gsize kSha256Bytes = 32;

}  // namespace

std::string Sha256(const std::string& data) {
  std::unique_ptr<GChecksum, decltype(&g_checksum_free)> sum(
      g_checksum_new(G_CHECKSUM_SHA256), g_checksum_free);
  g_checksum_update(sum.get(), reinterpret_cast<const guchar*>(data.data()),
                    static_cast<gssize>(data.size()));
  std::string digest(kSha256Bytes, '\0');
  gsize n = digest.size();
  g_checksum_get_digest(sum.get(), reinterpret_cast<guint8*>(digest.data()),
                        &n);
  return digest;
}

std::string HmacSha256(const std::string& key, const std::string& data) {
  std::unique_ptr<GHmac, decltype(&g_hmac_unref)> mac(
      g_hmac_new(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(key.data()),
                 key.size()),
      g_hmac_unref);
  g_hmac_update(mac.get(), reinterpret_cast<const guchar*>(data.data()),
                static_cast<gssize>(data.size()));
  std::string digest(kSha256Bytes, '\0');
  gsize n = digest.size();
  g_hmac_get_digest(mac.get(), reinterpret_cast<guint8*>(digest.data()), &n);
  return digest;
}

bool DigestsEqual(const std::string& a, const std::string& b) {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned char difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

uint64_t StableHash(const std::string& data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

uint64_t StableHash(uint64_t value, uint64_t seed) {
  return XXH3_64bits_withSeed(&value, sizeof(value), seed);
}

std::string Hex(const std::string& data) {
  return absl::BytesToHexString(data);
}

std::string Hex(uint64_t value) {
  return absl::StrFormat("%016x", value);
}

}  // namespace tamaracktrail
