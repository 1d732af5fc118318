#include "coordination/attempt_rules.h"

#include <glog/logging.h>

namespace tamaracktrail {

namespace {

//! With less time than this a further attempt cannot end well, and an endpoint
//! would work for a caller that leaves.
constexpr Millis kLeastTime{30};

//! Connections that are tried for one request. Those that reach nobody cost
//! only time, which `remaining` bounds too.
constexpr int kMaxDials = 6;

bool SurelyNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kRefused ||
         outcome == AttemptOutcome::kMisdirected;
}

bool IsRepeatable(const RequestProgress& progress) {
  return progress.kind == CallKind::kSafe ||
         (progress.kind == CallKind::kStream && progress.resumable);
}

bool MaySendAgain(const RequestProgress& progress, AttemptOutcome outcome) {
  const bool harmless = SurelyNotRun(outcome) && !progress.may_have_run;
  if (!harmless && !IsRepeatable(progress)) {
    return false;
  }
  if (!harmless && progress.crashes_endpoints) {
    return false;
  }
  // An attempt that reached nobody adds no arrival anywhere.
  const bool free = progress.sends == 0;
  return progress.endpoint_left && progress.remaining >= kLeastTime &&
         progress.dials < kMaxDials && progress.sends < progress.max_attempts &&
         (free || progress.retry_allowed);
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
    const bool resumes = progress.kind == CallKind::kStream &&
                         progress.resumable && MaySendAgain(progress, outcome);
    return resumes ? NextStep::kResume : NextStep::kBreakOff;
  }
  if (MaySendAgain(progress, outcome)) {
    return NextStep::kTryAnother;
  }
  if (outcome == AttemptOutcome::kFailed) {
    return NextStep::kDeliver;
  }
  if (!progress.may_have_run && SurelyNotRun(outcome)) {
    return NextStep::kRefuse;
  }
  return outcome == AttemptOutcome::kSilent ? NextStep::kTimeOut
                                            : NextStep::kBadGateway;
}

NextStep StepAtTimeout(const RequestProgress& progress, bool attempt_open) {
  if (progress.caller_gone) {
    return NextStep::kDrop;
  }
  if (progress.head_sent) {
    return NextStep::kBreakOff;
  }
  if (!attempt_open && !progress.may_have_run) {
    return NextStep::kRefuse;
  }
  return NextStep::kTimeOut;
}

}  // namespace tamaracktrail
