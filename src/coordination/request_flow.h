#ifndef COORDINATION_REQUEST_FLOW_H_
#define COORDINATION_REQUEST_FLOW_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "coordination/flow_action.h"
#include "coordination/flow_spec.h"
#include "coordination/upstream_event.h"
#include "protocol/reserve_reply.h"
#include "state/millis.h"

namespace tamaracktrail {

class RetryBudget;

//! State machine of one request, from the content check and the reservation to
//! the final event.
//!
//! Each event method returns the actions to execute. The flow reports "not run"
//! only while no byte of the call can have reached an endpoint, never repeats a
//! non-repeatable call that may have run, and completes an answer only when its
//! charge is safe. Not thread-safe.
class RequestFlow {
 public:
  using Actions = std::vector<FlowAction>;

  //! Precondition: `retries` outlives the flow.
  RequestFlow(FlowSpec spec, RetryBudget* retries);

  Actions Start(Millis now);

  //! Refuses a request without starting it. Precondition: Start was not called.
  Actions Refuse(ResultCode code);

  //! Handles the result of CheckContent or RecordCrash: kOk to continue,
  //! otherwise the reason for the refusal.
  Actions OnContent(Millis now, ResultCode verdict);

  Actions OnReserveReply(Millis now, const ReserveReply& reply);
  Actions OnDispatched(Millis now, const std::string& endpoint);
  Actions OnNoEndpoint(Millis now);
  Actions OnUpstream(Millis now, const UpstreamEvent& event);
  Actions OnCrashVerdict(Millis now, bool crashed);
  Actions OnSettled(Millis now, bool safe);

  //! Handles a caller that disconnected or reads too slowly. Cancels the call,
  //! except for a non-repeatable one, which runs to its end so that its outcome
  //! is recorded.
  Actions OnCallerGone(Millis now, ResultCode code);

  //! Enforces the timeouts. Call it several times a second.
  Actions OnTick(Millis now);

  bool done() const { return phase_ == Phase::kDone; }
  const FlowSpec& spec() const { return spec_; }

  //! Tokens still reserved under the share of `holder`, for orphan reports.
  int64_t ReservedUnder(uint64_t holder) const;

  //! Endpoint of the latest attempt; empty before the first.
  const std::string& endpoint() const { return endpoint_; }
  int tries() const { return tries_; }

 private:
  enum class Phase {
    kNew,
    kCheckingContent,
    kReserving,
    kDispatching,
    kRunning,
    kConfirmingCrash,
    kRecordingCrash,
    kSettling,
    kDone,
  };

  Actions Dispatch();
  Actions RetryNotRun(Millis now, ResultCode code);
  Actions RetryLostAttempt(Millis now);
  Actions OnChunk(Millis now, const UpstreamEvent& event);
  Actions OnEnd(Millis now, const UpstreamEvent& event);
  Actions OnAttemptLost(Millis now, ResultCode code);
  Actions Fail(ResultCode code);
  void EndReservation(Actions& out);
  Charge MakeCharge(const UpstreamEvent& event) const;
  Run MakeRun(ResultCode code) const;
  RunState StateFor(ResultCode code) const;

  FlowSpec spec_;
  RetryBudget* retries_;
  Phase phase_ = Phase::kNew;
  Millis phase_since_;
  Millis last_event_;
  uint64_t holder_ = 0;  //!< Of the granted reservation; 0 for none.
  //! The reservation was requested, and neither refused nor ended.
  bool reservation_open_ = false;
  //! Bytes of a call may have reached an endpoint.
  bool may_have_reached_endpoint_ = false;
  bool caller_gone_ = false;
  int tries_ = 0;
  uint64_t next_sequence_ = 0;
  std::string endpoint_;
  std::set<std::string> exclude_;
  Charge charge_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_REQUEST_FLOW_H_
