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

//! The way of one request from its reservation to its end.
//!
//! Events go in, actions come out. It states "not run" only while no byte of
//! the call can have reached an endpoint, never repeats a non-repeatable call
//! that may have run, and ends an answer only when its charge is safe. Not
//! thread-safe.
class RequestFlow {
 public:
  using Actions = std::vector<FlowAction>;

  //! Precondition: `retries` outlives the flow.
  RequestFlow(FlowSpec spec, RetryBudget* retries);

  Actions Start(Millis now);

  //! Ends a request that was not started. Precondition: Start was not called.
  Actions Refuse(ResultCode code);

  //! Verdict on the content: kOk to go on, else the reason to refuse.
  Actions OnContent(Millis now, ResultCode verdict);

  Actions OnReserveReply(Millis now, const ReserveReply& reply);
  Actions OnDispatched(Millis now, const std::string& endpoint);
  Actions OnNoEndpoint(Millis now);
  Actions OnUpstream(Millis now, const UpstreamEvent& event);
  Actions OnCrashVerdict(Millis now, bool crashed);
  Actions OnSettled(Millis now, bool safe);

  //! The caller is gone, or reads too slowly. Cancels the call, but lets a
  //! non-repeatable one end so that its outcome is recorded.
  Actions OnCallerGone(Millis now, ResultCode code);

  //! Checks the timeouts. Call it several times a second.
  Actions OnTick(Millis now);

  bool done() const { return phase_ == Phase::kDone; }
  const FlowSpec& spec() const { return spec_; }

  //! Tokens still reserved under `holder`, for orphan reports.
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
  Actions RetryUnsent(Millis now, ResultCode code);
  Actions RetryCut(Millis now);
  Actions OnChunk(Millis now, const UpstreamEvent& event);
  Actions OnEnd(Millis now, const UpstreamEvent& event);
  Actions OnCut(Millis now, ResultCode code);
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
  uint64_t holder_ = 0;        //!< Of the standing reservation; 0 for none.
  bool reserve_open_ = false;  //!< Asked for, and not refused or ended.
  bool exposed_ = false;       //!< Bytes may have reached an endpoint.
  bool caller_gone_ = false;
  int tries_ = 0;
  uint64_t next_sequence_ = 0;
  std::string endpoint_;
  std::set<std::string> exclude_;
  Charge charge_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_REQUEST_FLOW_H_
