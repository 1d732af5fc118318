#include "coordination/attempt_rules.h"

#include <gtest/gtest.h>

#include <vector>

#include "coordination/attempt_outcome.h"
#include "coordination/request_progress.h"
#include "state/call_kind.h"

namespace tamaracktrail {
namespace {

RequestProgress Start(CallKind kind, bool resumable = false) {
  RequestProgress progress;
  progress.kind = kind;
  progress.resumable = resumable;
  progress.max_attempts = 2;
  progress.sends = 1;
  progress.connection_attempts = 1;
  progress.retry_allowed = true;
  progress.has_untried_endpoint = true;
  progress.remaining = Millis(1000);
  return progress;
}

RequestProgress MayHaveRun(RequestProgress progress) {
  progress.may_have_run = true;
  return progress;
}

TEST(AttemptRulesTest, RequestThatHasNotRunIsSentToAnotherEndpoint) {
  for (const CallKind kind :
       {CallKind::kSafe, CallKind::kUnsafe, CallKind::kStream}) {
    for (const AttemptOutcome outcome :
         {AttemptOutcome::kNotSent, AttemptOutcome::kRefused,
          AttemptOutcome::kMisdirected}) {
      EXPECT_EQ(StepAfterAttempt(Start(kind), outcome), NextStep::kTryAnother);
    }
  }
}

TEST(AttemptRulesTest, RequestThatMayHaveRunIsSentAgainOnlyIfRepeatable) {
  for (const AttemptOutcome outcome :
       {AttemptOutcome::kBroken, AttemptOutcome::kTimedOut}) {
    EXPECT_NE(StepAfterAttempt(MayHaveRun(Start(CallKind::kUnsafe)), outcome),
              NextStep::kTryAnother);
    EXPECT_NE(StepAfterAttempt(MayHaveRun(Start(CallKind::kStream)), outcome),
              NextStep::kTryAnother);
    EXPECT_EQ(StepAfterAttempt(MayHaveRun(Start(CallKind::kSafe)), outcome),
              NextStep::kTryAnother);
    EXPECT_EQ(
        StepAfterAttempt(MayHaveRun(Start(CallKind::kStream, true)), outcome),
        NextStep::kTryAnother);
  }
}

// "Not run" must be true of all attempts of the request, not only the last one.
TEST(AttemptRulesTest, NotRunIsNotReportedAfterAnAttemptThatMayHaveRun) {
  RequestProgress progress = MayHaveRun(Start(CallKind::kSafe));
  progress.sends = 2;
  for (const AttemptOutcome outcome :
       {AttemptOutcome::kNotSent, AttemptOutcome::kRefused,
        AttemptOutcome::kMisdirected, AttemptOutcome::kBroken,
        AttemptOutcome::kTimedOut}) {
    EXPECT_NE(StepAfterAttempt(progress, outcome), NextStep::kRefuse);
  }
  EXPECT_NE(StepAtTimeout(progress, false), NextStep::kRefuse);
}

TEST(AttemptRulesTest, RequestIsRefusedAtEachRetryLimit) {
  const RequestProgress base = Start(CallKind::kSafe);
  RequestProgress no_attempts_left = base;
  no_attempts_left.sends = 2;
  RequestProgress no_budget = base;
  no_budget.retry_allowed = false;
  RequestProgress no_other_endpoint = base;
  no_other_endpoint.has_untried_endpoint = false;
  RequestProgress near_deadline = base;
  near_deadline.remaining = Millis(5);
  for (const RequestProgress& it : std::vector<RequestProgress>{
           no_attempts_left, no_budget, no_other_endpoint, near_deadline}) {
    EXPECT_EQ(StepAfterAttempt(it, AttemptOutcome::kRefused),
              NextStep::kRefuse);
  }
}

// An attempt that reached no endpoint adds no load to the service.
TEST(AttemptRulesTest,
     FailedConnectionIsRetriedWithoutRetryBudgetUpToTheLimit) {
  RequestProgress progress = Start(CallKind::kUnsafe);
  progress.sends = 0;
  progress.max_attempts = 1;
  progress.retry_allowed = false;
  EXPECT_EQ(StepAfterAttempt(progress, AttemptOutcome::kNotSent),
            NextStep::kTryAnother);
  progress.connection_attempts = 6;
  EXPECT_EQ(StepAfterAttempt(progress, AttemptOutcome::kNotSent),
            NextStep::kRefuse);
}

TEST(AttemptRulesTest, ErrorAnswerIsDeliveredIfTheRequestIsNotRepeatable) {
  EXPECT_EQ(StepAfterAttempt(MayHaveRun(Start(CallKind::kUnsafe)),
                             AttemptOutcome::kFailed),
            NextStep::kDeliver);
  EXPECT_EQ(StepAfterAttempt(MayHaveRun(Start(CallKind::kSafe)),
                             AttemptOutcome::kFailed),
            NextStep::kTryAnother);
}

TEST(AttemptRulesTest, StartedStreamIsResumedOnlyIfResumableElseAborted) {
  RequestProgress progress = MayHaveRun(Start(CallKind::kStream, true));
  progress.head_sent = true;
  progress.event_sent = true;
  EXPECT_EQ(StepAfterAttempt(progress, AttemptOutcome::kBroken),
            NextStep::kResume);
  progress.resumable = false;
  EXPECT_EQ(StepAfterAttempt(progress, AttemptOutcome::kBroken),
            NextStep::kAbort);
  EXPECT_EQ(StepAtTimeout(progress, true), NextStep::kAbort);
}

TEST(AttemptRulesTest, ContentThatCrashesEndpointsIsNotSentAgain) {
  RequestProgress progress = MayHaveRun(Start(CallKind::kSafe));
  progress.crashes_endpoints = true;
  EXPECT_EQ(StepAfterAttempt(progress, AttemptOutcome::kBroken),
            NextStep::kBadGateway);
}

TEST(AttemptRulesTest, NothingIsSentAfterTheCallerDisconnects) {
  RequestProgress progress = Start(CallKind::kSafe);
  progress.caller_gone = true;
  EXPECT_EQ(StepAfterAttempt(progress, AttemptOutcome::kRefused),
            NextStep::kDrop);
  EXPECT_EQ(StepAtTimeout(progress, false), NextStep::kDrop);
}

TEST(AttemptRulesTest, RequestIsRefusedAtTheTimeoutOnlyIfNoAttemptIsOpen) {
  EXPECT_EQ(StepAtTimeout(Start(CallKind::kUnsafe), true), NextStep::kTimeOut);
  EXPECT_EQ(StepAtTimeout(Start(CallKind::kUnsafe), false), NextStep::kRefuse);
}

TEST(LacksRetryBudgetTest, IsTrueOnlyIfTheBudgetAloneForbidsAnotherAttempt) {
  RequestProgress progress;
  progress.kind = CallKind::kSafe;
  progress.max_attempts = 2;
  progress.sends = 1;
  progress.may_have_run = true;
  progress.has_untried_endpoint = true;
  progress.remaining = Millis(1000);
  EXPECT_TRUE(LacksRetryBudget(progress, AttemptOutcome::kFailed));
  progress.retry_allowed = true;
  EXPECT_FALSE(LacksRetryBudget(progress, AttemptOutcome::kFailed));
  progress.retry_allowed = false;
  progress.has_untried_endpoint = false;
  EXPECT_FALSE(LacksRetryBudget(progress, AttemptOutcome::kFailed));
}

}  // namespace
}  // namespace tamaracktrail
