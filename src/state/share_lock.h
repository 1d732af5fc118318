#ifndef STATE_SHARE_LOCK_H_
#define STATE_SHARE_LOCK_H_

#include <cstdint>
#include <optional>
#include <string>

#include "state/millis.h"

namespace tamaracktrail {

//! A record that locks an instance's shares: for 3 s from `at`, the
//! instance spends at most BudgetClaim::locked of each of its claims.
//!
//! A process that replaces the instance within that time, on the same boot of
//! the same machine, therefore knows that no more than that was spent. `at` is
//! time since boot and not comparable between machines or boots.
struct ShareLock {
  std::string instance;
  uint64_t incarnation = 0;
  std::string boot;  //!< Boot ID of the machine.
  Millis at;         //!< Start of the lock, as time since boot.
  //! How often the log had come back from an older copy when the lock was
  //! written. A lock from before a restore says nothing: a newer one may have
  //! been lost.
  int64_t generation = 0;

  friend bool operator==(const ShareLock&, const ShareLock&) = default;
};

//! Returns the log key of a lock; a newer record of the same key replaces it.
//! Thread-safe.
std::string ShareLockKey(const ShareLock& lock);

//! Encodes all fields but those of the key. Thread-safe.
std::string EncodeShareLock(const ShareLock& lock);

//! Returns nullopt where key or value is damaged or is not that of a lock.
//! Thread-safe.
std::optional<ShareLock> DecodeShareLock(const std::string& key,
                                         const std::string& value);

}  // namespace tamaracktrail

#endif  // STATE_SHARE_LOCK_H_
