#include "coordination/request_flow.h"

#include <gtest/gtest.h>

#include "coordination/retry_budget.h"

namespace tamaracktrail {
namespace {

using Kind = UpstreamEvent::Kind;

class RequestFlowTest : public testing::Test {
 protected:
  RequestFlow Make(bool repeatable, bool resumable = false) {
    FlowSpec spec;
    spec.organisation = "org";
    spec.key = "k";
    spec.service = "s";
    spec.content = "c";
    spec.entry = 5;
    spec.attempt = 9;
    spec.worst_case = 100;
    spec.repeatable = repeatable;
    spec.resumable = resumable;
    return RequestFlow(spec, &retries_);
  }

  //! Advances a flow until its call runs at an endpoint.
  void AdvanceToRunning(RequestFlow& flow) {
    flow.Start(now_);
    flow.OnContent(now_, ResultCode::kOk);
    // 1000 is ResultCode::kOk.
    flow.OnReserveReply(now_, ReserveReply{9, 1000, 7, 100});
    flow.OnDispatched(now_, "e1");
  }

  static UpstreamEvent Event(Kind kind, uint64_t sequence = 0) {
    UpstreamEvent event;
    event.kind = kind;
    event.sequence = sequence;
    event.completion_tokens = 10;
    return event;
  }

  template <class Action>
  static const Action* Find(const RequestFlow::Actions& actions) {
    for (const FlowAction& it : actions) {
      if (const auto* action = std::get_if<Action>(&it)) {
        return action;
      }
    }
    return nullptr;
  }

  RetryBudget retries_ = [] {
    RetryBudget budget(0.1, 10);
    budget.AddBurst();
    return budget;
  }();
  Millis now_{0};
};

TEST_F(RequestFlowTest, FinalEventIsSentOnlyAfterTheChargeIsSafe) {
  RequestFlow flow = Make(true);
  AdvanceToRunning(flow);
  flow.OnUpstream(now_, Event(Kind::kChunk, 0));
  const auto end = flow.OnUpstream(now_, Event(Kind::kEnd, 1));
  ASSERT_NE(Find<SettleCharge>(end), nullptr);
  EXPECT_EQ(Find<FinishRequest>(end), nullptr);
  const auto settled = flow.OnSettled(now_, true);
  EXPECT_EQ(Find<FinishRequest>(settled)->code, ResultCode::kOk);
}

TEST_F(RequestFlowTest, UsageAboveTheReservationIsChargedUpToTheReservation) {
  RequestFlow flow = Make(true);
  AdvanceToRunning(flow);
  UpstreamEvent end = Event(Kind::kEnd);
  end.completion_tokens = 1000000;
  const auto actions = flow.OnUpstream(now_, end);
  EXPECT_EQ(Find<SettleCharge>(actions)->request.charge.tokens, 100);
}

//! Expected result of a call whose tries all end with `kind`.
struct TryEndCase {
  Kind kind;
  bool repeatable;
  ResultCode code;
  RunState run_state;
};

TEST_F(RequestFlowTest, ResultStatesWhetherTheCallRan) {
  const TryEndCase kCases[] = {
      {Kind::kConnectFailed, true, ResultCode::kNoEndpoint, RunState::kNotRun},
      {Kind::kConnectFailed, false, ResultCode::kNoEndpoint, RunState::kNotRun},
      {Kind::kRefused, true, ResultCode::kEndpointRefused, RunState::kNotRun},
      {Kind::kRefused, false, ResultCode::kEndpointRefused, RunState::kNotRun},
      {Kind::kConnectionLost, false, ResultCode::kOutcomeUnknown,
       RunState::kOutcomeUnknown},
      {Kind::kError, true, ResultCode::kEndpointError, RunState::kRan},
      {Kind::kError, false, ResultCode::kEndpointError,
       RunState::kOutcomeUnknown},
  };
  for (const TryEndCase& it : kCases) {
    RequestFlow flow = Make(it.repeatable);
    AdvanceToRunning(flow);
    RequestFlow::Actions actions = flow.OnUpstream(now_, Event(it.kind));
    while (Find<FinishRequest>(actions) == nullptr) {
      ASSERT_NE(Find<DispatchCall>(actions), nullptr);
      flow.OnDispatched(now_, "e2");
      actions = flow.OnUpstream(now_, Event(it.kind));
    }
    const auto* finish = Find<FinishRequest>(actions);
    EXPECT_EQ(finish->code, it.code);
    EXPECT_EQ(finish->run_state, it.run_state);
    const auto* end = Find<ReservationEnd>(actions);
    ASSERT_NE(end, nullptr);
    const bool never_ran = it.run_state == RunState::kNotRun;
    EXPECT_EQ(end->abandon, !it.repeatable && never_ran);
  }
}

TEST_F(RequestFlowTest, NonRepeatableCallIsNotResentAfterBytesWereSent) {
  RequestFlow flow = Make(false);
  AdvanceToRunning(flow);
  const auto actions = flow.OnUpstream(now_, Event(Kind::kConnectionLost));
  EXPECT_EQ(Find<DispatchCall>(actions), nullptr);
}

TEST_F(RequestFlowTest,
       StreamWithLostConnectionIsResumedOnlyIfTheServiceIsResumable) {
  for (const bool resumable : {false, true}) {
    RequestFlow flow = Make(true, resumable);
    AdvanceToRunning(flow);
    flow.OnUpstream(now_, Event(Kind::kChunk, 0));
    flow.OnUpstream(now_, Event(Kind::kConnectionLost));
    const auto actions = flow.OnCrashVerdict(now_, false);
    const auto* dispatch = Find<DispatchCall>(actions);
    if (!resumable) {
      EXPECT_EQ(Find<FinishRequest>(actions)->code, ResultCode::kEndpointLost);
      continue;
    }
    ASSERT_NE(dispatch, nullptr);
    EXPECT_EQ(dispatch->resume_from, 1u);
    EXPECT_TRUE(dispatch->exclude.contains("e1"));
  }
}

TEST_F(RequestFlowTest, DuplicateChunkIsDroppedAndAGapCancelsTheCall) {
  RequestFlow flow = Make(true, true);
  AdvanceToRunning(flow);
  flow.OnUpstream(now_, Event(Kind::kChunk, 0));
  EXPECT_EQ(Find<ForwardChunk>(flow.OnUpstream(now_, Event(Kind::kChunk, 0))),
            nullptr);
  const auto gap = flow.OnUpstream(now_, Event(Kind::kChunk, 2));
  EXPECT_EQ(Find<ForwardChunk>(gap), nullptr);
  EXPECT_NE(Find<CancelCall>(gap), nullptr);
}

TEST_F(RequestFlowTest, AnswerWithMissingChunksIsNotCharged) {
  RequestFlow flow = Make(true);
  AdvanceToRunning(flow);
  flow.OnUpstream(now_, Event(Kind::kChunk, 0));
  const auto actions = flow.OnUpstream(now_, Event(Kind::kEnd, 2));
  EXPECT_EQ(Find<SettleCharge>(actions), nullptr);
}

TEST_F(RequestFlowTest, ExhaustedRetryBudgetEndsTheRequest) {
  RetryBudget exhausted(0, 0);
  FlowSpec spec;
  spec.attempt = 9;
  RequestFlow flow(spec, &exhausted);
  AdvanceToRunning(flow);
  flow.OnUpstream(now_, Event(Kind::kConnectionLost));
  const auto actions = flow.OnCrashVerdict(now_, false);
  EXPECT_EQ(Find<FinishRequest>(actions)->code, ResultCode::kRetryBudgetSpent);
}

// Guards against endpoints that refuse getting any number of second tries.
TEST_F(RequestFlowTest, RefusedCallIsTriedAgainOnlyWithinTheRetryBudget) {
  for (const bool has_retry : {false, true}) {
    RetryBudget budget(0, has_retry ? 1 : 0);
    budget.AddBurst();
    RequestFlow flow(Make(true).spec(), &budget);
    AdvanceToRunning(flow);
    const auto actions = flow.OnUpstream(now_, Event(Kind::kRefused));
    EXPECT_EQ(Find<DispatchCall>(actions) != nullptr, has_retry);
    EXPECT_FALSE(budget.HasRetry());
    if (!has_retry) {
      EXPECT_EQ(Find<FinishRequest>(actions)->code,
                ResultCode::kEndpointRefused);
    }
  }
}

TEST_F(RequestFlowTest, CallWithoutConnectionNeedsNoRetryBudget) {
  RetryBudget exhausted(0, 0);
  RequestFlow flow(Make(true).spec(), &exhausted);
  AdvanceToRunning(flow);
  EXPECT_NE(
      Find<DispatchCall>(flow.OnUpstream(now_, Event(Kind::kConnectFailed))),
      nullptr);
}

TEST_F(RequestFlowTest, CrashIsRecordedBeforeARetry) {
  RequestFlow flow = Make(true);
  AdvanceToRunning(flow);
  flow.OnUpstream(now_, Event(Kind::kConnectionLost));
  const auto crash = flow.OnCrashVerdict(now_, true);
  EXPECT_NE(Find<RecordCrash>(crash), nullptr);
  EXPECT_EQ(Find<DispatchCall>(crash), nullptr);
  const auto refused = flow.OnContent(now_, ResultCode::kPoisonRequest);
  EXPECT_EQ(Find<FinishRequest>(refused)->code, ResultCode::kPoisonRequest);
}

TEST_F(RequestFlowTest,
       DisconnectIsNotBilledAndOnlyARepeatableCallIsCancelled) {
  RequestFlow repeatable_flow = Make(true);
  AdvanceToRunning(repeatable_flow);
  const auto disconnected =
      repeatable_flow.OnCallerGone(now_, ResultCode::kCallerGone);
  EXPECT_NE(Find<CancelCall>(disconnected), nullptr);
  EXPECT_NE(Find<ReservationEnd>(disconnected), nullptr);

  RequestFlow non_repeatable_flow = Make(false);
  AdvanceToRunning(non_repeatable_flow);
  EXPECT_TRUE(
      non_repeatable_flow.OnCallerGone(now_, ResultCode::kCallerGone).empty());
  const auto end = non_repeatable_flow.OnUpstream(now_, Event(Kind::kEnd));
  EXPECT_NE(Find<AppendRecord>(end), nullptr);
  EXPECT_EQ(Find<SettleCharge>(end), nullptr);
}

TEST_F(RequestFlowTest, ReservationTimeoutEndsTheRequestAsNotRun) {
  for (const bool repeatable : {true, false}) {
    RequestFlow flow = Make(repeatable);
    flow.Start(now_);
    flow.OnContent(now_, ResultCode::kOk);
    const auto timed_out = flow.OnTick(now_ + kSecond * 5);
    EXPECT_EQ(Find<FinishRequest>(timed_out)->run_state, RunState::kNotRun);
    EXPECT_EQ(Find<ReservationEnd>(timed_out)->abandon, !repeatable);
    // A grant that arrives after the timeout is ignored.
    EXPECT_TRUE(
        flow.OnReserveReply(now_, ReserveReply{9, 1000, 7, 100}).empty());
  }
}

TEST_F(RequestFlowTest, UnsafeChargeEndsTheRequestWithChargeNotSafe) {
  RequestFlow flow = Make(true);
  AdvanceToRunning(flow);
  flow.OnUpstream(now_, Event(Kind::kEnd));
  const auto actions = flow.OnSettled(now_, false);
  EXPECT_EQ(Find<FinishRequest>(actions)->code, ResultCode::kChargeNotSafe);
}

}  // namespace
}  // namespace tamaracktrail
