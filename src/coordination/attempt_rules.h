#ifndef COORDINATION_ATTEMPT_RULES_H_
#define COORDINATION_ATTEMPT_RULES_H_

#include "coordination/attempt_outcome.h"
#include "coordination/request_progress.h"

namespace tamaracktrail {

//! Decides what follows an attempt. At most once: only a request that surely
//! has not run, or that does no harm when it runs again, is sent again; "not
//! run" is told only where no attempt may have run. Thread-safe.
NextStep StepAfterAttempt(const RequestProgress& progress,
                          AttemptOutcome outcome);

//! Decides what follows when the time of the request is up while an attempt is
//! open, or while it waits (`attempt_open` false). Thread-safe.
NextStep StepAtTimeout(const RequestProgress& progress, bool attempt_open);

}  // namespace tamaracktrail

#endif  // COORDINATION_ATTEMPT_RULES_H_
