#ifndef COORDINATION_ATTEMPT_RULES_H_
#define COORDINATION_ATTEMPT_RULES_H_

#include "coordination/attempt_outcome.h"
#include "coordination/request_progress.h"

namespace tamaracktrail {

//! Decides the next step after an attempt. Ensures at-most-once execution: a
//! request is sent again only if it has certainly not run or is repeatable, and
//! "not run" is reported only if no attempt may have run. Thread-safe.
NextStep StepAfterAttempt(const RequestProgress& progress,
                          AttemptOutcome outcome);

//! Whether nothing but the retry budget keeps the request from another attempt.
//! Thread-safe.
bool LacksRetryBudget(const RequestProgress& progress, AttemptOutcome outcome);

//! Decides the next step when the request times out. `attempt_open`: an attempt
//! is open; otherwise the request waits for one. Thread-safe.
NextStep StepAtTimeout(const RequestProgress& progress, bool attempt_open);

}  // namespace tamaracktrail

#endif  // COORDINATION_ATTEMPT_RULES_H_
