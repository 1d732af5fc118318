#ifndef STATE_KEY_STATE_H_
#define STATE_KEY_STATE_H_

#include <cstdint>

#include "state/millis.h"

namespace tamaracktrail {

//! State of one request key in the ledger.
struct KeyState {
  enum class Phase : uint8_t {
    //! Unknown or expired, or its claim was abandoned, or the charge of a
    //! repeatable request was voided.
    kNone,
    kClaimed,  //!< May have run; the outcome is unknown.
    kDone,     //!< Ran, with a known outcome, and was not billed.
    kCharged,  //!< Ran and was billed.
  };

  Phase phase = Phase::kNone;
  //! Was claimed and must not run again: a voided charge leaves kDone, not
  //! kNone.
  bool non_repeatable = false;
  //! Set for a claim whose key is no UUIDv7: without a time in the key, a
  //! repeat after the key window could not be refused as too old.
  bool never_expires = false;
  uint64_t attempt = 0;
  int64_t tokens = 0;
  //! Attempt of a second charge, for another delivered answer under the key. It
  //! takes effect if the first charge is voided; 0 for none.
  uint64_t fallback_attempt = 0;
  int64_t fallback_tokens = 0;
  int32_t code = 0;  //!< Numeric result code of a known outcome.
  //! Fold time of the last accepted claim, charge or outcome.
  Millis last_seen;

  friend bool operator==(const KeyState&, const KeyState&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(phase, non_repeatable, never_expires, attempt, tokens,
            fallback_attempt, fallback_tokens, code, last_seen);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_KEY_STATE_H_
