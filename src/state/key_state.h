#ifndef STATE_KEY_STATE_H_
#define STATE_KEY_STATE_H_

#include <cstdint>

#include "state/millis.h"

namespace tamaracktrail {

//! What the ledger knows of one request key.
struct KeyState {
  enum class Phase : uint8_t {
    kNone,     //!< Unknown, or its claim was abandoned.
    kClaimed,  //!< May have run; the outcome is not known.
    kDone,     //!< Ran, with a known outcome, and was not billed.
    kCharged,  //!< Ran and was billed.
  };

  Phase phase = Phase::kNone;
  bool claimed = false;  //!< Non-repeatable: never back to kNone once run.
  bool carried = false;  //!< Never expires: a claim under an opaque key.
  uint64_t attempt = 0;
  int64_t tokens = 0;
  //! A further delivered answer under the key; it counts if the charge that
  //! came first is voided. 0 for none.
  uint64_t rival_attempt = 0;
  int64_t rival_tokens = 0;
  int32_t code = 0;  //!< Numbered result code of a known outcome.
  Millis seen;       //!< Fold time of the last change.

  friend bool operator==(const KeyState&, const KeyState&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(phase, claimed, carried, attempt, tokens, rival_attempt,
            rival_tokens, code, seen);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_KEY_STATE_H_
