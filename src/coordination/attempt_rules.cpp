#include "coordination/attempt_rules.h"

#include <glog/logging.h>

namespace tamaracktrail {

namespace {

//! Least remaining time for another attempt. With less, the caller disconnects
//! before the answer, and the endpoint's work is wasted.
constexpr Millis kMinAttemptTime{30};

//! Limit of connection attempts for one request. Attempts that reach no
//! endpoint cost only time, which RequestProgress::remaining limits as well;
//! they don't count against max_attempts.
constexpr int kMaxConnectionAttempts = 6;

bool CertainlyNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kRefused ||
         outcome == AttemptOutcome::kMisdirected;
}

bool IsRepeatable(const RequestProgress& progress) {
  return progress.kind == CallKind::kSafe ||
         (progress.kind == CallKind::kStream && progress.resumable);
}

bool MayRetry(const RequestProgress& progress, AttemptOutcome outcome) {
  const bool not_run = CertainlyNotRun(outcome) && !progress.may_have_run;
  if (!not_run && !IsRepeatable(progress)) {
    return false;
  }
  if (!not_run && progress.crashes_endpoints) {
    return false;
  }
  // A request that has reached no endpoint adds no load to the service, so
  // sending it needs no retry budget.
  const bool is_unsent = progress.sends == 0;
  return progress.has_untried_endpoint &&
         progress.remaining >= kMinAttemptTime &&
         progress.connection_attempts < kMaxConnectionAttempts &&
         progress.sends < progress.max_attempts &&
         (is_unsent || progress.retry_allowed);
}

}  // namespace

NextStep StepAfterAttempt(const RequestProgress& progress,
                          AttemptOutcome outcome) {
  CHECK(!progress.event_sent || progress.head_sent) << "event=bad_progress";
  if (progress.caller_gone) {
    return NextStep::kDrop;
  }
  if (outcome == AttemptOutcome::kAnswered) {
    return NextStep::kDeliver;
  }
  if (progress.head_sent) {
    const bool may_resume = progress.kind == CallKind::kStream &&
                            progress.resumable && MayRetry(progress, outcome);
    return may_resume ? NextStep::kResume : NextStep::kAbort;
  }
  if (MayRetry(progress, outcome)) {
    return NextStep::kTryAnother;
  }
  if (outcome == AttemptOutcome::kFailed) {
    return NextStep::kDeliver;
  }
  if (!progress.may_have_run && CertainlyNotRun(outcome)) {
    return NextStep::kRefuse;
  }
  return outcome == AttemptOutcome::kTimedOut ? NextStep::kTimeOut
                                              : NextStep::kBadGateway;
}

bool LacksRetryBudget(const RequestProgress& progress, AttemptOutcome outcome) {
  RequestProgress with_budget = progress;
  with_budget.retry_allowed = true;
  return StepAfterAttempt(with_budget, outcome) !=
         StepAfterAttempt(progress, outcome);
}

NextStep StepAtTimeout(const RequestProgress& progress, bool attempt_open) {
  if (progress.caller_gone) {
    return NextStep::kDrop;
  }
  if (progress.head_sent) {
    return NextStep::kAbort;
  }
  if (!attempt_open && !progress.may_have_run) {
    return NextStep::kRefuse;
  }
  return NextStep::kTimeOut;
}

}  // namespace tamaracktrail
