#include "transport/relay/relay_task.h"

#include <algorithm>
#include <set>
#include <string>

#include <glog/logging.h>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "coordination/attempt_rules.h"
#include "protocol/http_reader.h"
#include "protocol/text.h"
#include "state/routing_config.h"
#include "transport/log_line.h"
#include "transport/metrics.h"
#include "transport/relay/caller_connection.h"
#include "transport/relay/relay_context.h"
#include "transport/relay/relay_limits.h"

namespace tamaracktrail {

namespace {

//! A request waits for a share for at most this time, and for at most this
//! fraction of its route's objective: a poll of the budget records takes 10 ms,
//! and a caller that is held for longer has less time for a retry.
constexpr Millis kMaxShareWait{200};
constexpr double kMaxShareWaitFraction = 0.15;
//! Polls of the budget records after which a waiting request is refused. The
//! first may have begun before the request arrived; the second takes it into
//! account.
constexpr int kMaxSharePolls = 2;

//! The kernel retransmits a lost SYN only after 1 s, so a new connection
//! attempt is faster than waiting.
constexpr Millis kConnectTimeout{300};

//! Longest time for which sent bytes may lack an acknowledgement from the
//! endpoint's kernel; after it the connection fails.
constexpr Millis kAckTimeout{2500};

//! Longest idle time of a connection that is reused. It is shorter for requests
//! that may run only once, as the endpoint may be closing an older connection
//! at the same moment.
constexpr Millis kMaxIdleNonRepeatable{4000};
constexpr Millis kMaxIdle{60000};

//! A repeatable request is sent to another endpoint when the first byte of the
//! answer takes longer than this multiple of the predicted time. That timeout
//! is at most a fraction of the remaining time, but not below a minimum.
constexpr int64_t kFirstByteTimeoutFactor = 4;
constexpr Millis kMinFirstByteTimeout{150};
constexpr double kMaxFirstByteTimeoutFraction = 0.4;

//! A request is refused if its first event is predicted after more than this
//! fraction of the route's event timeout, since the predicted time can be wrong
//! by a few tenths of its value.
constexpr double kEventTimeoutFraction = 0.85;

//! Returns the ids of all parts but the last, separated by commas.
std::string SharedPartIds(const std::optional<PromptShape>& prompt) {
  std::string ids;
  for (size_t i = 0; prompt && i + 1 < prompt->parts.size(); ++i) {
    absl::StrAppend(&ids, i == 0 ? "" : ",", prompt->parts[i].id);
  }
  return ids;
}

}  // namespace

RelayTask::RelayTask(RelayContext* context,
                     CallerConnection* connection,
                     CallerRequest request)
    : context_(context),
      connection_(connection),
      request_(std::move(request)),
      config_(context->config) {}

RelayTask::~RelayTask() {
  if (!finished_) {
    const bool stopping = context_->exit_deadline > Millis(0) &&
                          context_->loop->Now() >= context_->exit_deadline;
    if (stopping) {
      LogEnd(0, "broken_off", "shutdown");
    } else {
      LogEnd(0, "caller_left", "connection closed by the caller");
    }
  }
  if (ticket_) {
    context_->registry.OnAbandoned(&*ticket_);
  }
  SettleReservation();
  EndShareWait();
  context_->loop->Cancel(&deadline_timer_);
  context_->loop->Cancel(&first_byte_timer_);
  context_->loop->Cancel(&connection_end_timer_);
}

// --- Admission -------------------------------------------------------------

void RelayTask::Start() {
  if (!Admit() || RefuseWithoutEndpoint()) {
    return;
  }
  deadline_timer_ = context_->loop->After(deadline_ - context_->loop->Now(),
                                          [this] { OnDeadline(); });
  ReserveOrWait();
}

bool RelayTask::RefuseWithoutEndpoint() {
  const Millis now = context_->loop->Now();
  const EndpointRegistry& registry = context_->registry;
  if (registry.HasAny(now, service_->name, allowed_regions_)) {
    return false;
  }
  // Endpoints elsewhere show that only the allowed regions are in the way.
  RefuseWithRetryAfter(registry.HasAny(now, service_->name)
                           ? "no_endpoint_in_allowed_regions"
                           : "no_endpoint",
                       kNoEndpointRetryAfter);
  return true;
}

void RelayTask::ReserveOrWait() {
  if (!prompt_ || organisation_ == nullptr) {
    Attempt();
    return;
  }
  const Millis now = context_->loop->Now();
  const int64_t max_tokens = prompt_->max_tokens();
  const auto verdict =
      context_->shares.Reserve(now, organisation_->name, max_tokens);
  if (verdict == BudgetShares::Verdict::kInsufficient) {
    StartShareWait();
    if (!CanWaitForShare()) {
      RefuseForShare();
    }
    return;
  }
  if (verdict == BudgetShares::Verdict::kGranted) {
    reserved_ = max_tokens;
    context_->outage.OnGranted(now);
  }
  EndShareWait();
  Attempt();
}

bool RelayTask::CanWaitForShare() {
  const Millis now = context_->loop->Now();
  const int64_t max_tokens = prompt_->max_tokens();
  if (context_->shares.IsExhausted(now, organisation_->name, max_tokens)) {
    return false;
  }
  const bool log_can_help =
      context_->shares_can_grow() && share_polls_ < kMaxSharePolls;
  const bool log_suffices =
      log_can_help &&
      context_->shares.GetView(now, organisation_->name).unclaimed >=
          max_tokens;
  if (!log_suffices && context_->lending.Borrow(now, organisation_->name)) {
    context_->on_lending();
    return true;
  }
  return log_can_help;
}

void RelayTask::StartShareWait() {
  if (waiting_for_share_) {
    return;
  }
  waiting_for_share_ = true;
  context_->waiting_for_share.insert(this);
  context_->lending.AddDemand(organisation_->name, prompt_->max_tokens());
  const Millis wait = std::min(
      {kMaxShareWait, route_->latency_objective.Scaled(kMaxShareWaitFraction),
       Remaining()});
  share_wait_timer_ = context_->loop->After(wait, [this] { RefuseForShare(); });
  if (context_->shares_can_grow()) {
    context_->on_share_insufficient();
  }
}

void RelayTask::EndShareWait() {
  if (!waiting_for_share_) {
    return;
  }
  waiting_for_share_ = false;
  context_->waiting_for_share.erase(this);
  context_->lending.RemoveDemand(organisation_->name, prompt_->max_tokens());
  context_->loop->Cancel(&share_wait_timer_);
}

void RelayTask::OnSharesChanged(ShareEvent event) {
  share_polls_ += event == ShareEvent::kPolled ? 1 : 0;
  ReserveOrWait();
}

void RelayTask::RefuseForShare() {
  EndShareWait();
  const int64_t max_tokens = prompt_->max_tokens();
  if (context_->shares.IsExhausted(context_->loop->Now(), organisation_->name,
                                   max_tokens)) {
    Fail(402, "Payment Required", "budget_exhausted");
    return;
  }
  const Millis now = context_->loop->Now();
  context_->outage.OnRefused(now);
  const BudgetShares::View view =
      context_->shares.GetView(now, organisation_->name);
  LogLine(context_->log, "share_short")
      .Add("id", request_id_)
      .Add("organisation", organisation_->name)
      .Add("asked", max_tokens)
      .Add("available", view.available)
      .Add("held", view.held)
      .Add("undrawn", view.unclaimed)
      .Add("log_age_ms", view.log_age)
      .Add("lost", context_->shares_can_grow() ? 0 : 1);
  RefuseWithRetryAfter("no_share", kNoShareRetryAfter);
}

// --- Attempts --------------------------------------------------------------

Millis RelayTask::Remaining() const {
  return deadline_ - context_->loop->Now();
}

void RelayTask::Attempt() {
  if (!may_have_run_ && CrashesEndpoints()) {
    RefuseWithRetryAfter("crashes_endpoints", kMaxRetryAfter);
    return;
  }
  if (!may_have_run_ && RefuseForLimits()) {
    return;
  }
  const Millis now = context_->loop->Now();
  Placement::Request placement_request;
  placement_request.service = service_;
  placement_request.prompt = prompt_ ? &*prompt_ : nullptr;
  placement_request.prefix_hashes = &prefix_hashes_;
  placement_request.tried = &tried_endpoints_;
  placement_request.allowed_regions = allowed_regions_;
  const auto choice = context_->placement.Choose(now, placement_request,
                                                 context_->RandomFraction());
  if (!choice) {
    if (may_have_run_) {
      Fail(502, "Bad Gateway", "no_other_endpoint");
    } else if (!RefuseWithoutEndpoint()) {
      RefuseWithRetryAfter("no_endpoint", kNoEndpointRetryAfter);
    }
    return;
  }
  const EndpointState* state =
      context_->registry.Find(choice->id, choice->start_unix_ms);
  CHECK(state != nullptr) << "event=chosen_endpoint_unknown";
  const Millis limit = std::min(
      Remaining(), route_->event_timeout.Scaled(kEventTimeoutFraction));
  if (!head_sent_ && !may_have_run_ && choice->predicted > limit) {
    RefuseWithRetryAfter("overloaded",
                         choice->predicted - route_->latency_objective);
    return;
  }
  Send(*choice, *state);
}

bool RelayTask::RefuseForLimits() {
  const Millis now = context_->loop->Now();
  const EndpointRegistry::Room room =
      context_->registry.RoomOf(now, service_->name, allowed_regions_);
  if (!room.all_restricted) {
    return false;
  }
  // More urgent requests take what the limits allow first.
  const double urgent = context_->UrgentDemand(service_->name, rank_);
  context_->CountLimitedDemand(service_->name, rank_);
  if (room.next == Millis(0) && urgent <= room.per_second) {
    return false;
  }
  LogLine(context_->log, "limits_reached")
      .Add("id", request_id_)
      .Add("service", service_->name)
      .Add("rank", rank_)
      .Add("per_second", room.per_second)
      .Add("next_ms", room.next);
  RefuseWithRetryAfter("endpoint_limits", room.next);
  return true;
}

Millis RelayTask::DelayAfterRefusal(AttemptOutcome outcome) const {
  const EndpointRegistry::Room room = context_->registry.RoomOf(
      context_->loop->Now(), service_->name, allowed_regions_);
  if (room.all_restricted) {
    return room.next;
  }
  return outcome == AttemptOutcome::kRefused
             ? route_->latency_objective.Scaled(0.5)
             : kMinRetryAfter;
}

void RelayTask::Send(const Placement::Choice& choice,
                     const EndpointState& state) {
  const Millis now = context_->loop->Now();
  tried_endpoints_.insert(choice.incarnation_hash);
  ++connection_attempts_;
  LogLine(context_->log, "send")
      .Add("id", request_id_)
      .Add("endpoint", choice.id)
      .Add("service", service_->name)
      .Add("config", config_->version())
      .Add("predicted_ms", choice.predicted)
      .Add("to_read", choice.uncached_tokens)
      .Add("queued", state.uncached_tokens())
      .Add("open", state.open())
      .Add("fetch_from", choice.fetch_from)
      .Add("left_ms", Remaining());
  ticket_ = context_->registry.OnSent(now, state, choice.uncached_tokens,
                                      choice.predicted);
  context_->prefix_cache_index.OnPromptSent(now, prefix_hashes_,
                                            choice.incarnation_hash);
  EndpointCall::Options options;
  options.endpoint = choice.incarnation_hash;
  options.address = choice.address;
  options.request_id = request_id_;
  options.expects_body = request_.method != "HEAD";
  options.connect_timeout = std::min(kConnectTimeout, Remaining());
  options.ack_timeout = kAckTimeout;
  options.max_idle = route_->repeatable() ? kMaxIdle : kMaxIdleNonRepeatable;
  call_ = std::make_unique<EndpointCall>(context_->loop, &context_->pool,
                                         options, this);
  answer_outcome_ = AttemptOutcome::kAnswered;
  cleared_of_crashes_ = false;
  answer_framing_.reset();
  malformed_answer_ = false;
  resuming_ = head_sent_;
  discarded_bytes_ = 0;
  events_before_attempt_ = splitter_.event_count();
  call_->Start(RequestHead(choice), request_.body);
  StartFirstByteTimer(choice.predicted);
}

std::string RelayTask::RequestHead(const Placement::Choice& choice) const {
  const CallDialect& dialect = context_->dialect;
  std::string head =
      absl::StrCat(request_.method, " ", request_.target, " HTTP/1.1\r\n");
  const std::set<std::string> connection_names =
      ListMembers(request_.fields.Find("Connection").value_or(""));
  for (const HttpField& it : request_.fields.all()) {
    const bool not_forwarded =
        std::any_of(dialect.not_forwarded.begin(), dialect.not_forwarded.end(),
                    [&](const std::string& name) {
                      return EqualsIgnoringCase(name, it.name);
                    });
    const bool replaced_event_id =
        head_sent_ && EqualsIgnoringCase(it.name, dialect.last_event_id);
    const bool in_connection_field =
        connection_names.contains(absl::AsciiStrToLower(it.name));
    if (!not_forwarded && !replaced_event_id && !in_connection_field &&
        !IsHopByHopField(it.name) &&
        !EqualsIgnoringCase(it.name, "Content-Length")) {
      absl::StrAppend(&head, it.name, ": ", it.value, "\r\n");
    }
  }
  absl::StrAppend(&head, dialect.deadline, ": ",
                  std::max<int64_t>(1, (Remaining() + kDeadlineMargin).count()),
                  "\r\n", dialect.expected_endpoint, ": ", choice.id, "\r\n");
  if (organisation_ != nullptr) {
    absl::StrAppend(&head, dialect.organisation, ": ", organisation_->name,
                    "\r\n");
  }
  if (prompt_) {
    absl::StrAppend(&head, dialect.priority, ": ", std::min(rank_, 9), "\r\n");
  }
  if (!choice.fetch_from.empty()) {
    absl::StrAppend(&head, dialect.fetch_prefix_from, ": ", choice.fetch_from,
                    "\r\n");
  }
  if (head_sent_) {
    absl::StrAppend(&head, dialect.last_event_id, ": ",
                    splitter_.last_event_id(), "\r\n");
  }
  const bool needs_content_length =
      !request_.body->empty() || request_.fields.Count("Content-Length") > 0 ||
      request_.fields.Count("Transfer-Encoding") > 0;
  if (needs_content_length) {
    absl::StrAppend(&head, "Content-Length: ", request_.body->size(), "\r\n");
  }
  absl::StrAppend(&head, "\r\n");
  return head;
}

void RelayTask::StartFirstByteTimer(Millis predicted) {
  context_->loop->Cancel(&first_byte_timer_);
  if (!route_->repeatable() || !call_) {
    return;
  }
  const Millis timeout =
      std::max(kMinFirstByteTimeout,
               std::min(predicted * kFirstByteTimeoutFactor,
                        Remaining().Scaled(kMaxFirstByteTimeoutFraction)));
  first_byte_timer_ =
      context_->loop->After(timeout, [this] { OnFirstByteTimeout(); });
}

void RelayTask::OnFirstByteTimeout() {
  if (!call_ || !ticket_ || ticket_->answered) {
    return;
  }
  // `Progress` doesn't count the open attempt yet, but the decision on the next
  // one has to.
  RequestProgress progress = Progress();
  if (call_->sent()) {
    ++progress.sends;
    progress.may_have_run = true;
  }
  const NextStep step = StepAfterAttempt(progress, AttemptOutcome::kTimedOut);
  if (step == NextStep::kTryAnother || step == NextStep::kResume) {
    FinishAttempt(AttemptOutcome::kTimedOut, "no answer in time");
  } else if (LacksRetryBudget(progress, AttemptOutcome::kTimedOut)) {
    LogRetry(false);
  }
}

RequestProgress RelayTask::Progress() const {
  RequestProgress progress;
  progress.kind = route_->kind;
  // Another endpoint can only go on after an event that has an id.
  progress.resumable =
      route_->resumable && (!head_sent_ || !splitter_.last_event_id().empty());
  progress.max_attempts = route_->max_attempts;
  progress.sends = sends_;
  progress.connection_attempts = connection_attempts_;
  progress.may_have_run = may_have_run_;
  progress.head_sent = head_sent_;
  progress.event_sent = splitter_.event_count() > 0;
  progress.retry_allowed = Retries().HasRetry();
  const CrashSuspects& suspects = context_->crashes.suspects();
  progress.crashes_endpoints =
      !cleared_of_crashes_ &&
      (suspects.IsSuspect(content_hash_) ||
       std::any_of(shared_parts_.begin(), shared_parts_.end(),
                   [&](uint64_t part) { return suspects.IsSuspect(part); }));
  const auto usable = context_->registry.Usable(
      context_->loop->Now(), service_->name, allowed_regions_);
  progress.has_untried_endpoint =
      std::any_of(usable.begin(), usable.end(), [&](const EndpointState* it) {
        return !tried_endpoints_.contains(it->incarnation_hash);
      });
  progress.remaining = Remaining();
  return progress;
}

void RelayTask::FinishAttempt(AttemptOutcome outcome,
                              const std::string& reason) {
  context_->loop->Cancel(&first_byte_timer_);
  context_->loop->Cancel(&connection_end_timer_);
  connection_ended_at_ = Millis(0);
  const bool sent = call_ != nullptr && call_->sent();
  if (outcome != AttemptOutcome::kNotSent && sent) {
    ++sends_;
  }
  const bool ran = outcome != AttemptOutcome::kNotSent &&
                   outcome != AttemptOutcome::kRefused &&
                   outcome != AttemptOutcome::kMisdirected;
  may_have_run_ = may_have_run_ || ran;
  context_->congestion.OnAttempt(context_->loop->Now(),
                                 outcome == AttemptOutcome::kNotSent);
  if (outcome == AttemptOutcome::kBroken && !malformed_answer_ && ticket_) {
    context_->crashes.OnConnectionLost(
        context_->loop->Now(), ticket_->incarnation_hash,
        {content_hash_, shared_parts_, cleared_of_crashes_});
  }
  if (outcome == AttemptOutcome::kNotSent && ticket_) {
    context_->crashes.OnEndpointDown(context_->loop->Now(),
                                     ticket_->incarnation_hash);
  }
  if (outcome != AttemptOutcome::kAnswered) {
    context_->metrics->Count(absl::StrCat("attempts_failed_total{outcome=\"",
                                          static_cast<int>(outcome), "\"}"));
    LogLine(context_->log, "attempt_failed")
        .Add("id", request_id_)
        .Add("endpoint", ticket_ ? ticket_->id : "")
        .Add("outcome", static_cast<int>(outcome))
        .AddQuoted("reason", reason)
        .Add("sent", sent)
        .Add("events", splitter_.event_count())
        .Add("content", content_hash_)
        .Add("parts", SharedPartIds(prompt_));
  }
  ReportOutcome(outcome);
  call_.reset();
  const RequestProgress progress = Progress();
  if (LacksRetryBudget(progress, outcome)) {
    LogRetry(false);
  }
  TakeStep(StepAfterAttempt(progress, outcome), outcome);
}

RetryBudget& RelayTask::Retries() const {
  return context_->retry_budgets.For(context_->loop->Now(), service_->name);
}

void RelayTask::LogRetry(bool taken) {
  const RetryBudget& budget = Retries();
  const FleetPart& part = context_->fleet_part;
  context_->metrics->Count(taken ? "retries_total" : "retries_refused_total");
  LogLine(context_->log, taken ? "retry" : "retry_refused")
      .Add("id", request_id_)
      .Add("service", service_->name)
      .Add("sends", sends_)
      .Add("left", budget.left())
      .Add("most", budget.burst())
      .Add("instances", part.instances().value_or(0))
      .Add("list_age_ms",
           part.AgeOfCount(context_->loop->Now()).value_or(Millis(-1)));
}

void RelayTask::ReportOutcome(AttemptOutcome outcome) {
  if (!ticket_) {
    return;
  }
  EndpointOutcome health = EndpointOutcome::kAnswered;
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      break;
    case AttemptOutcome::kNotSent:
      health = EndpointOutcome::kUnreachable;
      break;
    case AttemptOutcome::kRefused:
      health = EndpointOutcome::kOverloaded;
      break;
    case AttemptOutcome::kMisdirected:
      health = EndpointOutcome::kMisdirected;
      break;
    case AttemptOutcome::kFailed:
      health = EndpointOutcome::kFailed;
      break;
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kTimedOut:
      health = EndpointOutcome::kLost;
      break;
  }
  context_->registry.OnEnded(context_->loop->Now(), &*ticket_, health);
  ticket_.reset();
}

void RelayTask::TakeStep(NextStep step, AttemptOutcome outcome) {
  switch (step) {
    case NextStep::kTryAnother:
    case NextStep::kResume:
      if (sends_ > 0) {
        CHECK(Retries().TakeRetry()) << "event=retry_without_budget";
        LogRetry(true);
      }
      buffered_.clear();
      splitter_.Restart();
      Attempt();
      return;
    case NextStep::kDeliver:
      if (head_sent_) {
        EndStream();
      } else {
        DeliverBuffered();
      }
      return;
    case NextStep::kRefuse:
      RefuseWithRetryAfter("endpoint_refused", DelayAfterRefusal(outcome));
      return;
    case NextStep::kBadGateway:
      Fail(502, "Bad Gateway", "endpoint_failed");
      return;
    case NextStep::kTimeOut:
      Fail(504, "Gateway Timeout", "endpoint_silent");
      return;
    case NextStep::kAbort:
      AbortAnswer("endpoint_broke_off");
      return;
    case NextStep::kDrop:
      return;
  }
}

}  // namespace tamaracktrail
