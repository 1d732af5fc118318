#ifndef STATE_BUDGET_BEAT_H_
#define STATE_BUDGET_BEAT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "state/millis.h"

namespace tamaracktrail {

//! An instance's promise, on the log, to spend no more than the locked part of
//! its claims for a fixed time from `at`.
//!
//! A process that starts in its place within that time, on the same boot of the
//! same machine, knows by this how much was spent at most. `at` is time since
//! boot and means nothing elsewhere.
struct BudgetBeat {
  std::string instance;
  uint64_t incarnation = 0;
  std::string boot;  //!< Names the boot of the machine.
  Millis at;

  friend bool operator==(const BudgetBeat&, const BudgetBeat&) = default;
};

//! The key under which a beat replaces older ones. Thread-safe.
std::string BudgetBeatKey(const BudgetBeat& beat);

//! Encodes all but the key. Thread-safe.
std::string EncodeBudgetBeat(const BudgetBeat& beat);

//! nullopt where key or value is damaged or no beat's. Thread-safe.
std::optional<BudgetBeat> DecodeBudgetBeat(const std::string& key,
                                           const std::string& value);

}  // namespace tamaracktrail

#endif  // STATE_BUDGET_BEAT_H_
