#include "coordination/request_flow.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "coordination/retry_budget.h"
#include "protocol/result_info.h"

namespace tamaracktrail {

RequestFlow::RequestFlow(FlowSpec spec, RetryBudget* retries)
    : spec_(std::move(spec)), retries_(retries) {
  CHECK_NE(spec_.attempt, 0u);
}

RequestFlow::Actions RequestFlow::Start(Millis now) {
  CHECK(phase_ == Phase::kNew);
  retries_->OnRequest();
  phase_ = Phase::kCheckingContent;
  phase_since_ = now;
  return {CheckContent{spec_.content}};
}

RequestFlow::Actions RequestFlow::Refuse(ResultCode code) {
  CHECK(phase_ == Phase::kNew);
  return Fail(code);
}

RequestFlow::Actions RequestFlow::OnContent(Millis now, ResultCode verdict) {
  if (phase_ == Phase::kRecordingCrash) {
    return verdict == ResultCode::kOk ? RetryAfterLoss(now) : Fail(verdict);
  }
  if (phase_ != Phase::kCheckingContent) {
    return {};
  }
  if (verdict != ResultCode::kOk) {
    return Fail(verdict);
  }
  phase_ = Phase::kReserving;
  phase_since_ = now;
  reservation_open_ = true;
  return {ReserveRequest{spec_.organisation, spec_.key, spec_.service,
                         spec_.attempt, spec_.entry, spec_.worst_case,
                         !spec_.repeatable}};
}

RequestFlow::Actions RequestFlow::OnReserveReply(Millis,
                                                 const ReserveReply& reply) {
  if (phase_ != Phase::kReserving || reply.attempt != spec_.attempt) {
    return {};
  }
  const auto code = static_cast<ResultCode>(reply.code);
  if (code != ResultCode::kOk) {
    reservation_open_ = false;
    return Fail(code);
  }
  holder_ = reply.holder;
  return Dispatch();
}

RequestFlow::Actions RequestFlow::Dispatch() {
  ++tries_;
  phase_ = Phase::kDispatching;
  return {DispatchCall{tries_, next_sequence_, excluded_endpoints_}};
}

RequestFlow::Actions RequestFlow::OnDispatched(Millis now,
                                               const std::string& endpoint) {
  CHECK(phase_ == Phase::kDispatching);
  endpoint_ = endpoint;
  phase_ = Phase::kRunning;
  last_event_at_ = now;
  return {};
}

RequestFlow::Actions RequestFlow::OnNoEndpoint(Millis) {
  CHECK(phase_ == Phase::kDispatching);
  return Fail(ResultCode::kNoEndpoint);
}

RequestFlow::Actions RequestFlow::OnUpstream(Millis now,
                                             const UpstreamEvent& event) {
  if (phase_ != Phase::kRunning) {
    return {};
  }
  last_event_at_ = now;
  switch (event.kind) {
    case UpstreamEvent::Kind::kConnectFailed:
      return RetryNotRun(now, ResultCode::kNoEndpoint);
    case UpstreamEvent::Kind::kRefused:
      return RetryNotRun(now, ResultCode::kEndpointRefused);
    case UpstreamEvent::Kind::kChunk:
      may_have_run_ = true;
      return OnChunk(now, event);
    case UpstreamEvent::Kind::kEnd:
      may_have_run_ = true;
      return OnEnd(now, event);
    case UpstreamEvent::Kind::kConnectionLost:
      may_have_run_ = true;
      return OnTryLost(now, ResultCode::kEndpointLost);
    case UpstreamEvent::Kind::kError:
      may_have_run_ = true;
      return Fail(ResultCode::kEndpointError);
  }
  return {};
}

RequestFlow::Actions RequestFlow::RetryNotRun(Millis, ResultCode code) {
  excluded_endpoints_.insert(endpoint_);
  if (tries_ >= spec_.max_tries || caller_gone_) {
    return Fail(code);
  }
  // A refused call has reached an endpoint; one that found no connection adds
  // no load.
  if (code == ResultCode::kEndpointRefused && !retries_->TakeRetry()) {
    return Fail(code);
  }
  Actions out{AppendRecord{MakeRun(code)}};
  const Actions dispatch = Dispatch();
  out.insert(out.end(), dispatch.begin(), dispatch.end());
  return out;
}

RequestFlow::Actions RequestFlow::OnChunk(Millis now,
                                          const UpstreamEvent& event) {
  if (event.sequence < next_sequence_) {
    return {};
  }
  if (event.sequence > next_sequence_) {
    Actions out{CancelCall{}};
    const Actions lost = OnTryLost(now, ResultCode::kAnswerIncomplete);
    out.insert(out.end(), lost.begin(), lost.end());
    return out;
  }
  ++next_sequence_;
  return {ForwardChunk{event.data}};
}

RequestFlow::Actions RequestFlow::OnEnd(Millis now,
                                        const UpstreamEvent& event) {
  if (event.sequence != next_sequence_) {
    return OnTryLost(now, ResultCode::kAnswerIncomplete);
  }
  Actions out;
  if (!spec_.repeatable) {
    out.push_back(AppendRecord{Outcome{spec_.organisation, spec_.key,
                                       spec_.attempt, endpoint_, event.status,
                                       static_cast<int32_t>(ResultCode::kOk)}});
  }
  if (caller_gone_) {
    const Actions fail = Fail(ResultCode::kCallerGone);
    out.insert(out.end(), fail.begin(), fail.end());
    return out;
  }
  charge_ = MakeCharge(event);
  phase_ = Phase::kSettling;
  phase_since_ = now;
  reservation_open_ = false;
  out.push_back(SettleCharge{SettleRequest{charge_, spec_.worst_case}});
  return out;
}

RequestFlow::Actions RequestFlow::OnTryLost(Millis now, ResultCode code) {
  if (!spec_.repeatable) {
    return Fail(ResultCode::kOutcomeUnknown);
  }
  if (code == ResultCode::kAnswerIncomplete) {
    return RetryAfterLoss(now);
  }
  phase_ = Phase::kConfirmingCrash;
  phase_since_ = now;
  return {ConfirmCrash{endpoint_}};
}

RequestFlow::Actions RequestFlow::OnCrashVerdict(Millis now, bool crashed) {
  if (phase_ != Phase::kConfirmingCrash) {
    return {};
  }
  if (!crashed) {
    return RetryAfterLoss(now);
  }
  phase_ = Phase::kRecordingCrash;
  phase_since_ = now;
  return {
      RecordCrash{Crash{spec_.content, endpoint_, spec_.key, spec_.attempt}}};
}

RequestFlow::Actions RequestFlow::RetryAfterLoss(Millis) {
  excluded_endpoints_.insert(endpoint_);
  const bool can_complete = next_sequence_ == 0 || spec_.resumable;
  if (!can_complete || tries_ >= spec_.max_tries) {
    return Fail(ResultCode::kEndpointLost);
  }
  if (!retries_->TakeRetry()) {
    return Fail(ResultCode::kRetryBudgetSpent);
  }
  Actions out{AppendRecord{MakeRun(ResultCode::kEndpointLost)}};
  const Actions dispatch = Dispatch();
  out.insert(out.end(), dispatch.begin(), dispatch.end());
  return out;
}

RequestFlow::Actions RequestFlow::OnSettled(Millis, bool safe) {
  if (phase_ != Phase::kSettling) {
    return {};
  }
  if (!safe) {
    return Fail(ResultCode::kChargeNotSafe);
  }
  phase_ = Phase::kDone;
  holder_ = 0;
  return {FinishRequest{ResultCode::kOk, RunState::kRan}};
}

RequestFlow::Actions RequestFlow::OnCallerGone(Millis, ResultCode code) {
  if (phase_ == Phase::kDone || caller_gone_) {
    return {};
  }
  caller_gone_ = true;
  if (phase_ == Phase::kSettling) {
    Actions out{WithdrawCharge{charge_}};
    const Actions fail = Fail(code);
    out.insert(out.end(), fail.begin(), fail.end());
    return out;
  }
  if (phase_ == Phase::kRunning && !spec_.repeatable) {
    return {};
  }
  Actions out;
  if (phase_ == Phase::kRunning) {
    may_have_run_ = true;
    out.push_back(CancelCall{});
  }
  const Actions fail = Fail(code);
  out.insert(out.end(), fail.begin(), fail.end());
  return out;
}

RequestFlow::Actions RequestFlow::OnTick(Millis now) {
  const bool reserving = phase_ == Phase::kReserving &&
                         now >= phase_since_ + spec_.reserve_timeout;
  if (reserving) {
    // A non-repeatable request also waits until its run claim is read back
    // from the log.
    return Fail(spec_.repeatable ? ResultCode::kKeeperUnreachable
                                 : ResultCode::kLogUnavailable);
  }
  if (phase_ == Phase::kRunning && now >= last_event_at_ + spec_.idle_timeout) {
    may_have_run_ = true;
    Actions out{CancelCall{}};
    const Actions lost = OnTryLost(now, ResultCode::kEndpointLost);
    out.insert(out.end(), lost.begin(), lost.end());
    return out;
  }
  return {};
}

RequestFlow::Actions RequestFlow::Fail(ResultCode code) {
  const RunState run_state = StateFor(code);
  Actions out;
  if (may_have_run_) {
    out.push_back(AppendRecord{MakeRun(code)});
  } else {
    out.push_back(
        AppendRecord{Refusal{spec_.organisation, spec_.key, spec_.entry,
                             spec_.service, static_cast<int32_t>(code),
                             InfoOf(code).description, spec_.config_version}});
  }
  EndReservation(out);
  phase_ = Phase::kDone;
  out.push_back(FinishRequest{code, run_state});
  return out;
}

void RequestFlow::EndReservation(Actions& out) {
  if (!reservation_open_) {
    return;
  }
  reservation_open_ = false;
  const bool abandon = !spec_.repeatable && !may_have_run_;
  out.push_back(ReservationEnd{spec_.organisation, spec_.key, spec_.attempt,
                               holder_, abandon});
  holder_ = 0;
}

Charge RequestFlow::MakeCharge(const UpstreamEvent& event) const {
  Charge charge;
  charge.organisation = spec_.organisation;
  charge.key = spec_.key;
  charge.holder = holder_;
  charge.entry = spec_.entry;
  charge.attempt = spec_.attempt;
  charge.service = spec_.service;
  charge.endpoint = endpoint_;
  charge.prompt_tokens = event.prompt_tokens;
  charge.completion_tokens = event.completion_tokens;
  const int64_t usage = spec_.fixed_cost > 0
                            ? spec_.fixed_cost
                            : event.prompt_tokens + event.completion_tokens;
  // The reservation is the maximum that the caller agreed to pay.
  charge.tokens = std::clamp<int64_t>(usage, 0, spec_.worst_case);
  charge.config_version = spec_.config_version;
  return charge;
}

Run RequestFlow::MakeRun(ResultCode code) const {
  return Run{spec_.organisation,
             spec_.key,
             spec_.attempt,
             spec_.entry,
             spec_.service,
             endpoint_,
             static_cast<int32_t>(code),
             spec_.config_version};
}

RunState RequestFlow::StateFor(ResultCode code) const {
  if (code == ResultCode::kOutcomeUnknown ||
      code == ResultCode::kRequestInProgress) {
    return RunState::kOutcomeUnknown;
  }
  if (code == ResultCode::kAlreadyBilled || code == ResultCode::kAlreadyRan) {
    return RunState::kRan;
  }
  if (!may_have_run_) {
    return RunState::kNotRun;
  }
  const bool outcome_unknown =
      !spec_.repeatable && code == ResultCode::kEndpointError;
  return outcome_unknown ? RunState::kOutcomeUnknown : RunState::kRan;
}

int64_t RequestFlow::ReservedUnder(uint64_t holder) const {
  const bool reservation_held =
      phase_ != Phase::kDone && phase_ != Phase::kSettling;
  return reservation_held && holder_ == holder ? spec_.worst_case : 0;
}

}  // namespace tamaracktrail
