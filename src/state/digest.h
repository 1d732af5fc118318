#ifndef STATE_DIGEST_H_
#define STATE_DIGEST_H_

#include <cstdint>
#include <string>

namespace tamaracktrail {

//! SHA-256 of `data`: 32 raw bytes. Thread-safe.
std::string Sha256(const std::string& data);

//! HMAC-SHA-256 of `data` under `key`: 32 raw bytes. Thread-safe.
std::string HmacSha256(const std::string& key, const std::string& data);

//! Compares two digests in time independent of their contents. Thread-safe.
bool DigestsEqual(const std::string& a, const std::string& b);

//! 64-bit hash, stable between processes and releases. Thread-safe.
uint64_t StableHash(const std::string& data, uint64_t seed = 0);
uint64_t StableHash(uint64_t value, uint64_t seed);

//! Lower-case hexadecimal form of raw bytes. Thread-safe.
std::string Hex(const std::string& data);

//! 16 lower-case hexadecimal digits of `value`. Thread-safe.
std::string Hex(uint64_t value);

}  // namespace tamaracktrail

#endif  // STATE_DIGEST_H_
