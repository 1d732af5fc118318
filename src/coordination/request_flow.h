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
//! Each event method returns the actions to execute. The flow reports
//! RunState::kNotRun only if no endpoint can have run the call, never repeats a
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

  //! Ends the request with `code`, because its caller disconnected or reads too
  //! slowly: cancels a running call, or withdraws the charge. A running
  //! non-repeatable call goes on to its end, so that its outcome is recorded.
  Actions OnCallerGone(Millis now, ResultCode code);

  //! Enforces reserve_timeout and idle_timeout. Call it several times a second.
  Actions OnTick(Millis now);

  bool done() const { return phase_ == Phase::kDone; }
  const FlowSpec& spec() const { return spec_; }

  //! Tokens still reserved under the share of `holder`, for orphan reports.
  int64_t ReservedUnder(uint64_t holder) const;

  //! Endpoint of the latest try; empty before the first.
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
  Actions RetryAfterLoss(Millis now);
  Actions OnChunk(Millis now, const UpstreamEvent& event);
  Actions OnEnd(Millis now, const UpstreamEvent& event);
  Actions OnTryLost(Millis now, ResultCode code);
  Actions Fail(ResultCode code);
  void EndReservation(Actions& out);
  Charge MakeCharge(const UpstreamEvent& event) const;
  Run MakeRun(ResultCode code) const;
  RunState StateFor(ResultCode code) const;

  FlowSpec spec_;
  RetryBudget* retries_;
  Phase phase_ = Phase::kNew;
  Millis phase_since_;
  Millis last_event_at_;
  uint64_t holder_ = 0;  //!< Of the granted reservation; 0 for none.
  //! The reservation was requested, and neither refused nor ended.
  bool reservation_open_ = false;
  //! An endpoint may have run the call.
  bool may_have_run_ = false;
  bool caller_gone_ = false;
  int tries_ = 0;
  uint64_t next_sequence_ = 0;
  std::string endpoint_;
  std::set<std::string> excluded_endpoints_;  //!< Endpoints of failed tries.
  Charge charge_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_REQUEST_FLOW_H_
