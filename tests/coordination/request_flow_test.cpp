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

  //! Brings a flow to where its call runs at an endpoint.
  void Run(RequestFlow& flow) {
    flow.Start(now_);
    flow.OnContent(now_, ResultCode::kOk);
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

  RetryBudget retries_{0.1, 10};
  Millis now_{0};
};

TEST_F(RequestFlowTest, FinalEventWaitsForTheCharge) {
  RequestFlow flow = Make(true);
  Run(flow);
  flow.OnUpstream(now_, Event(Kind::kChunk, 0));
  const auto end = flow.OnUpstream(now_, Event(Kind::kEnd, 1));
  ASSERT_NE(Find<SettleCharge>(end), nullptr);
  EXPECT_EQ(Find<FinishRequest>(end), nullptr);
  const auto settled = flow.OnSettled(now_, true);
  EXPECT_EQ(Find<FinishRequest>(settled)->code, ResultCode::kOk);
}

TEST_F(RequestFlowTest, ChargeNeverExceedsTheReservation) {
  RequestFlow flow = Make(true);
  Run(flow);
  UpstreamEvent end = Event(Kind::kEnd);
  end.completion_tokens = 1000000;
  const auto actions = flow.OnUpstream(now_, end);
  EXPECT_EQ(Find<SettleCharge>(actions)->request.charge.tokens, 100);
}

//! What a caller is told when a call ends this way.
struct EndCase {
  Kind kind;
  bool repeatable;
  ResultCode code;
  RunState run_state;
};

TEST_F(RequestFlowTest, EndsTellTheTruthAboutTheRun) {
  const EndCase kCases[] = {
      {Kind::kConnectFailed, true, ResultCode::kNoEndpoint, RunState::kNotRun},
      {Kind::kConnectFailed, false, ResultCode::kNoEndpoint, RunState::kNotRun},
      {Kind::kRefused, true, ResultCode::kEndpointRefused, RunState::kNotRun},
      {Kind::kRefused, false, ResultCode::kEndpointRefused, RunState::kNotRun},
      {Kind::kCut, false, ResultCode::kOutcomeUnknown,
       RunState::kOutcomeUnknown},
      {Kind::kError, true, ResultCode::kEndpointError, RunState::kRan},
      {Kind::kError, false, ResultCode::kEndpointError,
       RunState::kOutcomeUnknown},
  };
  for (const EndCase& it : kCases) {
    RequestFlow flow = Make(it.repeatable);
    Run(flow);
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

TEST_F(RequestFlowTest, NonRepeatableCallIsNeverSentTwiceAfterBytesWereSent) {
  RequestFlow flow = Make(false);
  Run(flow);
  const auto actions = flow.OnUpstream(now_, Event(Kind::kCut));
  EXPECT_EQ(Find<DispatchCall>(actions), nullptr);
}

TEST_F(RequestFlowTest, BrokenStreamResumesOnlyWhereTheAnswerStaysWhole) {
  for (const bool resumable : {false, true}) {
    RequestFlow flow = Make(true, resumable);
    Run(flow);
    flow.OnUpstream(now_, Event(Kind::kChunk, 0));
    flow.OnUpstream(now_, Event(Kind::kCut));
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

TEST_F(RequestFlowTest, ChunksOutOfOrderNeverReachTheCaller) {
  RequestFlow flow = Make(true, true);
  Run(flow);
  flow.OnUpstream(now_, Event(Kind::kChunk, 0));
  EXPECT_EQ(Find<ForwardChunk>(flow.OnUpstream(now_, Event(Kind::kChunk, 0))),
            nullptr);
  const auto gap = flow.OnUpstream(now_, Event(Kind::kChunk, 2));
  EXPECT_EQ(Find<ForwardChunk>(gap), nullptr);
  EXPECT_NE(Find<CancelCall>(gap), nullptr);
}

TEST_F(RequestFlowTest, AnswerWithMissingChunksIsNotWhole) {
  RequestFlow flow = Make(true);
  Run(flow);
  flow.OnUpstream(now_, Event(Kind::kChunk, 0));
  const auto actions = flow.OnUpstream(now_, Event(Kind::kEnd, 2));
  EXPECT_EQ(Find<SettleCharge>(actions), nullptr);
}

TEST_F(RequestFlowTest, RetriesEndWithTheRetryBudget) {
  RetryBudget none(0, 0);
  FlowSpec spec;
  spec.attempt = 9;
  RequestFlow flow(spec, &none);
  Run(flow);
  flow.OnUpstream(now_, Event(Kind::kCut));
  const auto actions = flow.OnCrashVerdict(now_, false);
  EXPECT_EQ(Find<FinishRequest>(actions)->code, ResultCode::kRetryBudgetSpent);
}

TEST_F(RequestFlowTest, CrashIsRecordedBeforeTheRepeat) {
  RequestFlow flow = Make(true);
  Run(flow);
  flow.OnUpstream(now_, Event(Kind::kCut));
  const auto crash = flow.OnCrashVerdict(now_, true);
  EXPECT_NE(Find<RecordCrash>(crash), nullptr);
  EXPECT_EQ(Find<DispatchCall>(crash), nullptr);
  const auto refused = flow.OnContent(now_, ResultCode::kPoisonRequest);
  EXPECT_EQ(Find<FinishRequest>(refused)->code, ResultCode::kPoisonRequest);
}

TEST_F(RequestFlowTest, CallerWhoLeavesIsNotBilledButAFeeStillEnds) {
  RequestFlow chat = Make(true);
  Run(chat);
  const auto gone = chat.OnCallerGone(now_, ResultCode::kCallerGone);
  EXPECT_NE(Find<CancelCall>(gone), nullptr);
  EXPECT_NE(Find<ReservationEnd>(gone), nullptr);

  RequestFlow fee = Make(false);
  Run(fee);
  EXPECT_TRUE(fee.OnCallerGone(now_, ResultCode::kCallerGone).empty());
  const auto end = fee.OnUpstream(now_, Event(Kind::kEnd));
  EXPECT_NE(Find<NoteRecord>(end), nullptr);
  EXPECT_EQ(Find<SettleCharge>(end), nullptr);
}

TEST_F(RequestFlowTest, UnansweredReservationEndsWithoutARun) {
  for (const bool repeatable : {true, false}) {
    RequestFlow flow = Make(repeatable);
    flow.Start(now_);
    flow.OnContent(now_, ResultCode::kOk);
    const auto late = flow.OnTick(now_ + kSecond * 5);
    EXPECT_EQ(Find<FinishRequest>(late)->run_state, RunState::kNotRun);
    EXPECT_EQ(Find<ReservationEnd>(late)->abandon, !repeatable);
    // A grant that comes now changes nothing.
    EXPECT_TRUE(
        flow.OnReserveReply(now_, ReserveReply{9, 1000, 7, 100}).empty());
  }
}

TEST_F(RequestFlowTest, UnsafeChargeWithholdsTheAnswer) {
  RequestFlow flow = Make(true);
  Run(flow);
  flow.OnUpstream(now_, Event(Kind::kEnd));
  const auto actions = flow.OnSettled(now_, false);
  EXPECT_EQ(Find<FinishRequest>(actions)->code, ResultCode::kChargeNotSafe);
}

}  // namespace
}  // namespace tamaracktrail
