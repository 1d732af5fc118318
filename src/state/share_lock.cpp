#include "state/share_lock.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

#include "state/bounded_input_archive.h"

namespace tamaracktrail {

namespace {

//! Ends the key of a lock; in the key of a claim an organisation follows.
constexpr char kSeparator = '/';

}  // namespace

std::string ShareLockKey(const ShareLock& lock) {
  return lock.instance + kSeparator;
}

std::string EncodeShareLock(const ShareLock& lock) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(lock.incarnation, lock.boot, lock.at, lock.generation);
  return out.str();
}

std::optional<ShareLock> DecodeShareLock(const std::string& key,
                                         const std::string& value) {
  if (key.size() < 2 || key.find(kSeparator) != key.size() - 1) {
    return std::nullopt;
  }
  ShareLock lock;
  lock.instance = key.substr(0, key.size() - 1);
  try {
    BoundedInputArchive archive(value);
    archive(lock.incarnation, lock.boot, lock.at);
    // Earlier versions wrote no generation.
    if (!archive.at_end()) {
      archive(lock.generation);
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return lock;
}

}  // namespace tamaracktrail
