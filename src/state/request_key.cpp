#include "state/request_key.h"

#include <charconv>

#include <glog/logging.h>

#include "state/digest.h"

namespace tamaracktrail {

namespace {

constexpr size_t kUuidChars = 36;
constexpr size_t kVersionIndex = 14;
//! Required size of the random input. MakeRequestKey() uses the first 9 bytes,
//! which are 18 hexadecimal digits.
constexpr size_t kRandomBytes = 16;

bool IsUuid(const std::string& key) {
  if (key.size() != kUuidChars) {
    return false;
  }
  for (size_t i = 0; i < key.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const bool hex = std::isxdigit(static_cast<unsigned char>(key[i])) != 0;
    if (dash ? key[i] != '-' : !hex) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::optional<Millis> RequestKeyTime(const std::string& key) {
  if (!IsUuid(key) || key[kVersionIndex] != '7') {
    return std::nullopt;
  }
  const std::string digits = key.substr(0, 8) + key.substr(9, 4);
  int64_t unix_ms = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), unix_ms, 16);
  return Millis(unix_ms);
}

std::string MakeRequestKey(Millis wall, const std::string& random) {
  CHECK_GE(random.size(), kRandomBytes);
  // A UUIDv7 holds the low 48 bits of the time: the last 12 of 16 digits.
  const std::string time_hex =
      Hex(static_cast<uint64_t>(wall.count())).substr(4);
  const std::string random_hex = Hex(random.substr(0, kRandomBytes));
  return time_hex.substr(0, 8) + "-" + time_hex.substr(8, 4) + "-7" +
         random_hex.substr(0, 3) + "-8" + random_hex.substr(3, 3) + "-" +
         random_hex.substr(6, 12);
}

}  // namespace tamaracktrail
