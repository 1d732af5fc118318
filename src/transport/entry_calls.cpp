#include "transport/entry_calls.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "absl/strings/str_cat.h"
#include "protocol/result_info.h"
#include "state/digest.h"
#include "transport/clock.h"
#include "transport/coordination_task.h"
#include "transport/endpoint_prober.h"
#include "transport/http_client.h"
#include "transport/internal/admission.h"
#include "transport/internal/caller_refusal.h"
#include "transport/metrics.h"

namespace tamaracktrail {

namespace {

constexpr int kHttpOk = 200;

//! Retries of an earlier process no longer count after this time.
constexpr Millis kRetryWindow{10000};

}  // namespace

EntryCalls::EntryCalls(const EntryLimits& limits,
                       uint64_t incarnation,
                       EndpointTable* endpoints,
                       Random* random,
                       Metrics* metrics)
    : limits_(limits),
      incarnation_(incarnation),
      endpoints_(endpoints),
      random_(random),
      metrics_(metrics),
      queue_(AdmissionQueue::Options{limits.queue_length,
                                     limits.queue_per_organisation}),
      started_at_(MonotonicNow()),
      retry_budget_(limits.retry_ratio, limits.retry_burst) {}

EntryCalls::~EntryCalls() = default;

void EntryCalls::SetDependencies(CoordinationTask* coordination,
                                 HttpClient* http,
                                 EndpointProber* prober) {
  coordination_ = coordination;
  http_ = http;
  prober_ = prober;
}

void EntryCalls::Clear() {
  calls_.clear();
  finished_.clear();
}

void EntryCalls::Admit(Admission admission) {
  if (calls_.size() >= limits_.max_streams) {
    RefuseCaller(admission.message, ResultCode::kTooManyStreams, "", metrics_);
    return;
  }
  const Millis now = MonotonicNow();
  const uint64_t attempt = NewAttempt();
  FlowSpec& spec = admission.spec;
  spec.entry = incarnation_;
  spec.attempt = attempt;
  spec.reserve_timeout = limits_.reserve_timeout;
  spec.idle_timeout = limits_.idle_timeout;
  const AdmissionQueue::Item item{attempt,
                                  spec.service,
                                  spec.organisation,
                                  admission.priority,
                                  spec.worst_case,
                                  now,
                                  now + admission.max_queue_wait};
  std::unique_ptr<EntryCall>& call = calls_[attempt];
  call = std::move(admission.call);
  call->attempt = attempt;
  call->received_at = now;
  call->priority = admission.priority;
  call->caller =
      std::make_unique<CallerStream>(admission.message, HandlerFor(attempt));
  call->caller->SetHeader("Idempotency-Key", spec.key);
  call->flow = std::make_unique<RequestFlow>(std::move(spec), &retry_budget_);
  if (!queue_.Push(item)) {
    Perform(*call, call->flow->Refuse(ResultCode::kQueueFull));
    return;
  }
  StartQueued(now);
}

CallerStream::Handler EntryCalls::HandlerFor(uint64_t attempt) {
  CallerStream::Handler handler;
  handler.on_disconnected = [this, attempt] {
    if (EntryCall* it = Find(attempt)) {
      Perform(*it,
              it->flow->OnCallerGone(MonotonicNow(), ResultCode::kCallerGone));
      it->caller->Abort();
    }
  };
  handler.on_drained = [this, attempt] {
    EntryCall* it = Find(attempt);
    if (it != nullptr && it->upstream != nullptr) {
      it->upstream->SetPaused(false);
    }
  };
  handler.on_finished = [this, attempt](bool written) {
    OnExchangeFinished(attempt, written);
  };
  return handler;
}

uint64_t EntryCalls::NewAttempt() {
  uint64_t attempt = 0;
  while (attempt == 0 || calls_.contains(attempt)) {
    attempt = (*random_)();
  }
  return attempt;
}

bool EntryCalls::HasFreeSlot(Millis now, const std::string& service) const {
  // Requests that left the queue and have not been sent to an endpoint.
  int undispatched = 0;
  for (const auto& [attempt, call] : calls_) {
    undispatched += !call->queued && !call->flow->done() &&
                            call->flow->tries() == 0 &&
                            call->flow->spec().service == service
                        ? 1
                        : 0;
  }
  return endpoints_->FreeSlots(now, service) > undispatched;
}

void EntryCalls::StartQueued(Millis now) {
  for (const std::string& service : queue_.Services()) {
    while (HasFreeSlot(now, service)) {
      const std::optional<AdmissionQueue::Item> item = queue_.Pop(now, service);
      if (!item.has_value()) {
        break;
      }
      EntryCall* call = Find(item->id);
      if (call == nullptr || call->flow->done()) {
        continue;
      }
      call->queued = false;
      Perform(*call, call->flow->Start(now));
    }
  }
}

EntryCall* EntryCalls::Find(uint64_t attempt) {
  auto it = calls_.find(attempt);
  return it == calls_.end() ? nullptr : it->second.get();
}

// Actions of a request's flow.

void EntryCalls::Perform(EntryCall& call, const RequestFlow::Actions& actions) {
  for (const FlowAction& it : actions) {
    std::visit([&](const auto& action) { Act(call, action); }, it);
  }
}

void EntryCalls::Act(EntryCall& call, const CheckContent& action) {
  coordination_->CheckContent(call.attempt, action.content);
}

void EntryCalls::Act(EntryCall&, const ReserveRequest& action) {
  coordination_->Reserve(action);
}

void EntryCalls::Act(EntryCall&, const ReservationEnd& action) {
  coordination_->EndReservation(action);
}

void EntryCalls::Act(EntryCall& call, const DispatchCall& action) {
  const Millis now = MonotonicNow();
  const std::vector<EndpointCandidate> candidates =
      CandidatesFor(now, call, action);
  if (candidates.empty()) {
    Perform(call, call.flow->OnNoEndpoint(now));
    return;
  }
  const size_t n =
      endpoint_choice_.Pick(candidates, call.model.prefix, *random_);
  const EndpointSpec endpoint = *endpoints_->Find(candidates[n].name);
  call.in_flight_endpoint = endpoint.name;
  call.dispatched_at = now;
  endpoints_->OnDispatch(now, endpoint.name);
  Perform(call, call.flow->OnDispatched(now, endpoint.name));
  call.upstream = std::make_unique<UpstreamCall>(
      http_->session(), UpstreamRequest(call, action, endpoint),
      [this, attempt = call.attempt](const UpstreamEvent& event) {
        OnUpstream(attempt, event);
      });
}

std::vector<EndpointCandidate> EntryCalls::CandidatesFor(
    Millis now,
    const EntryCall& call,
    const DispatchCall& action) {
  // Full endpoints are candidates only if there are no others.
  for (const bool include_full : {false, true}) {
    std::vector<EndpointCandidate> candidates =
        endpoints_->Candidates(now, call.flow->spec().service, include_full);
    std::erase_if(candidates, [&](const EndpointCandidate& it) {
      return action.exclude.contains(it.name);
    });
    if (!candidates.empty()) {
      return candidates;
    }
  }
  return {};
}

UpstreamCall::Request EntryCalls::UpstreamRequest(
    const EntryCall& call,
    const DispatchCall& action,
    const EndpointSpec& endpoint) const {
  UpstreamCall::Request request;
  request.request_id = call.flow->spec().key;
  request.attempt_id = absl::StrCat(Hex(call.attempt), "-", action.try_number);
  request.priority = call.priority;
  request.resume_from = action.resume_from;
  request.may_repeat = call.flow->spec().repeatable;
  request.streamed = call.model_call;
  if (call.model_call) {
    request.url = absl::StrCat(
        "http://", endpoint.address,
        call.model.chat ? "/v1/chat/completions" : "/v1/completions");
    request.body = call.model.body;
    return request;
  }
  request.method = call.method;
  request.url = absl::StrCat("http://", endpoint.address, call.path);
  request.body = call.body;
  if (!call.content_type.empty()) {
    request.content_type = call.content_type;
  }
  return request;
}

void EntryCalls::Act(EntryCall& call, const CancelCall&) {
  call.upstream.reset();
  // kRefused counts neither as a success nor as a failure of the endpoint.
  ReleaseEndpoint(MonotonicNow(), call, EndpointTable::Finish::kRefused);
}

void EntryCalls::Act(EntryCall& call, const ConfirmCrash& action) {
  const EndpointSpec* spec = endpoints_->Find(action.endpoint);
  const Millis now = MonotonicNow();
  if (spec == nullptr) {
    Perform(call, call.flow->OnCrashVerdict(now, false));
    return;
  }
  const std::optional<EndpointObservation> last =
      endpoints_->LastObservation(action.endpoint);
  const std::string boot_id = last.has_value() ? last->boot_id : "";
  prober_->ProbeNow(
      now, *spec,
      [this, boot_id, attempt = call.attempt](const EndpointObservation& it) {
        EntryCall* open = Find(attempt);
        if (open == nullptr) {
          return;
        }
        const bool restarted = !boot_id.empty() && it.boot_id != boot_id;
        const bool crashed = it.health == EndpointHealth::kDown || restarted;
        Perform(*open, open->flow->OnCrashVerdict(MonotonicNow(), crashed));
      });
}

void EntryCalls::Act(EntryCall& call, const RecordCrash& action) {
  metrics_->Count("tamaracktrail_endpoint_crashes_total");
  coordination_->ReportCrash(call.attempt, action.crash);
}

void EntryCalls::Act(EntryCall& call, const ForwardChunk& action) {
  const Millis now = MonotonicNow();
  if (call.first_chunk_at == Millis()) {
    call.first_chunk_at = now;
    const Millis wait = now - call.received_at;
    metrics_->Observe("tamaracktrail_first_token_ms",
                      static_cast<double>(wait.count()));
  }
  Forward(call, action.data);
}

void EntryCalls::Forward(EntryCall& call, const std::string& data) {
  if (!call.model.stream) {
    call.text += ChunkText(data, call.model.chat);
    return;
  }
  call.caller->SendEvent(MonotonicNow(), data);
  const bool full = call.caller->pending_bytes() > limits_.stream_buffer_bytes;
  if (full && call.upstream != nullptr) {
    call.upstream->SetPaused(true);
  }
}

void EntryCalls::Act(EntryCall& call, const SettleCharge& action) {
  call.charge = action.request.charge;
  coordination_->Settle(action.request);
}

void EntryCalls::Act(EntryCall&, const WithdrawCharge& action) {
  coordination_->Withdraw(action.charge);
}

void EntryCalls::Act(EntryCall& call, const AppendRecord& action) {
  coordination_->AppendRecord(call.flow->spec().organisation, action.record);
}

void EntryCalls::Act(EntryCall& call, const FinishRequest& action) {
  const FlowSpec& spec = call.flow->spec();
  const ResultInfo& info = InfoOf(action.code);
  const Millis duration = MonotonicNow() - call.received_at;
  queue_.Remove(call.attempt);
  call.upstream.reset();
  // kRefused counts neither as a success nor as a failure of the endpoint.
  ReleaseEndpoint(MonotonicNow(), call, EndpointTable::Finish::kRefused);
  metrics_->Count(
      absl::StrCat("tamaracktrail_requests_total{result=\"", info.name, "\"}"));
  metrics_->Observe("tamaracktrail_request_ms",
                    static_cast<double>(duration.count()));
  LOG(INFO) << "event=request organisation=" << spec.organisation
            << " key=" << spec.key << " service=" << spec.service
            << " code=" << static_cast<int>(action.code)
            << " name=" << info.name
            << " run=" << RunStateName(action.run_state)
            << " endpoint=" << call.flow->endpoint()
            << " tries=" << call.flow->tries()
            << " tokens=" << (call.flow->done() ? call.charge.tokens : 0)
            << " config=" << spec.config_version << " ms=" << duration.count();
  if (action.code == ResultCode::kOk) {
    call.charge_valid = true;
    SendAnswer(call);
  } else {
    coordination_->ReportContentEnd(call.attempt, spec.content, false);
    call.caller->SendError(action.code, action.run_state, "");
  }
}

void EntryCalls::SendAnswer(EntryCall& call) {
  if (!call.model_call) {
    call.caller->SendCompleteAnswer(
        call.end_event.status,
        call.content_type.empty() ? "application/json" : call.content_type,
        call.end_event.data);
    return;
  }
  if (call.model.stream) {
    call.caller->SendEvent(MonotonicNow(), call.usage_event);
    call.caller->SendEvent(MonotonicNow(), "[DONE]");
    call.caller->EndStream();
    return;
  }
  call.caller->SendCompleteAnswer(
      kHttpOk, "application/json",
      MakeCompleteAnswer(call.flow->spec().key, call.model.model, call.text,
                         call.charge.prompt_tokens,
                         call.charge.completion_tokens, call.model.chat));
}

// Events of endpoints and callers.

void EntryCalls::OnUpstream(uint64_t attempt, const UpstreamEvent& event) {
  EntryCall* call = Find(attempt);
  if (call == nullptr) {
    return;
  }
  const Millis now = MonotonicNow();
  switch (event.kind) {
    case UpstreamEvent::Kind::kChunk:
      break;
    case UpstreamEvent::Kind::kEnd:
      call->end_event = event;
      call->usage_event = event.data;
      call->content_type = call->upstream->content_type();
      ReleaseEndpoint(now, *call, EndpointTable::Finish::kOk);
      break;
    case UpstreamEvent::Kind::kRefused:
      AskToWait(now, *call, event.retry_after);
      ReleaseEndpoint(now, *call, EndpointTable::Finish::kRefused);
      break;
    default:
      ReleaseEndpoint(now, *call, EndpointTable::Finish::kFailed);
      break;
  }
  Perform(*call, call->flow->OnUpstream(now, event));
  if (event.kind != UpstreamEvent::Kind::kChunk) {
    StartQueued(now);
  }
}

void EntryCalls::AskToWait(Millis now, const EntryCall& call, Millis wait) {
  constexpr uint64_t kSteps = 1024;
  const double spread = static_cast<double>((*random_)() % kSteps) / kSteps;
  if (endpoints_->OnAskedToWait(now, call.in_flight_endpoint, wait, spread)) {
    metrics_->Count("tamaracktrail_endpoint_waits_total");
    LOG(INFO) << "event=endpoint_wait endpoint=" << call.in_flight_endpoint
              << " key=" << call.flow->spec().key
              << " wait_ms=" << wait.count();
  }
}

void EntryCalls::ReleaseEndpoint(Millis now,
                                 EntryCall& call,
                                 EndpointTable::Finish finish) {
  if (!call.in_flight_endpoint.empty()) {
    endpoints_->OnFinish(now, call.in_flight_endpoint, call.dispatched_at,
                         finish);
    call.in_flight_endpoint.clear();
  }
}

void EntryCalls::OnExchangeFinished(uint64_t attempt, bool written) {
  EntryCall* call = Find(attempt);
  if (call == nullptr) {
    return;
  }
  if (call->charge_valid && !written) {
    coordination_->Withdraw(call->charge);
    call->charge_valid = false;
  }
  if (call->charge_valid) {
    coordination_->ReportContentEnd(attempt, call->flow->spec().content, true);
  }
  if (!call->flow->done()) {
    Perform(*call,
            call->flow->OnCallerGone(MonotonicNow(), ResultCode::kCallerGone));
  }
  if (call->flow->done()) {
    finished_.push_back(std::move(calls_[attempt]));
    calls_.erase(attempt);
  }
}

void EntryCalls::Handle(const ReserveReply& notice) {
  EntryCall* call = Find(notice.attempt);
  if (call != nullptr) {
    Perform(*call, call->flow->OnReserveReply(MonotonicNow(), notice));
  }
}

void EntryCalls::Handle(const SettledNotice& notice) {
  EntryCall* call = Find(notice.attempt);
  if (call != nullptr) {
    Perform(*call, call->flow->OnSettled(MonotonicNow(), notice.safe));
  }
}

void EntryCalls::Handle(const ContentVerdict& notice) {
  EntryCall* call = Find(notice.attempt);
  if (call != nullptr) {
    Perform(*call, call->flow->OnContent(MonotonicNow(), notice.code));
  }
}

void EntryCalls::OnTick(Millis now) {
  if (now - started_at_ >= kRetryWindow) {
    retry_budget_.AddBurst();
  }
  for (const AdmissionQueue::Item& it : queue_.TakeExpired(now)) {
    if (EntryCall* call = Find(it.id)) {
      Perform(*call, call->flow->Refuse(ResultCode::kDeadlineExceeded));
    }
  }
  CheckTimeouts(now);
  StartQueued(now);
  finished_.clear();
}

void EntryCalls::CheckTimeouts(Millis now) {
  std::vector<uint64_t> attempts;
  for (const auto& [attempt, call] : calls_) {
    attempts.push_back(attempt);
  }
  for (const uint64_t attempt : attempts) {
    EntryCall* call = Find(attempt);
    if (call == nullptr) {
      continue;
    }
    if (!call->queued) {
      Perform(*call, call->flow->OnTick(now));
    }
    const CallerStream& caller = *call->caller;
    const bool slow =
        caller.pending_bytes() > 0 &&
        now >= caller.last_progress_at() + limits_.slow_reader_timeout;
    if (slow) {
      Perform(*call, call->flow->OnCallerGone(now, ResultCode::kSlowReader));
      call->caller->Abort();
    }
  }
}

}  // namespace tamaracktrail
