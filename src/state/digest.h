#ifndef STATE_DIGEST_H_
#define STATE_DIGEST_H_

#include <cstdint>
#include <string>

namespace tamaracktrail {

//! Returns the SHA-256 of `data` as 32 raw bytes. Thread-safe.
std::string Sha256(const std::string& data);

//! Returns the HMAC-SHA-256 of `data` under `key` as 32 raw bytes. Thread-safe.
std::string HmacSha256(const std::string& key, const std::string& data);

//! Compares two digests in constant time, independent of their contents.
//! Thread-safe.
bool DigestsEqual(const std::string& a, const std::string& b);

//! 64-bit non-cryptographic hash that is the same in all processes and
//! releases. Thread-safe.
uint64_t StableHash(const std::string& data, uint64_t seed = 0);
uint64_t StableHash(uint64_t value, uint64_t seed);

//! Encodes raw bytes as lower-case hexadecimal digits. Thread-safe.
std::string Hex(const std::string& data);

//! Formats `value` as 16 lower-case hexadecimal digits. Thread-safe.
std::string Hex(uint64_t value);

}  // namespace tamaracktrail

#endif  // STATE_DIGEST_H_
