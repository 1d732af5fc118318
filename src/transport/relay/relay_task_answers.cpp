#include <algorithm>
#include <cstddef>
#include <utility>

#include <glog/logging.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "coordination/attempt_rules.h"
#include "protocol/http_reader.h"
#include "protocol/retry_after.h"
#include "protocol/text.h"
#include "state/routing_config.h"
#include "transport/log_line.h"
#include "transport/metrics.h"
#include "transport/relay/caller_connection.h"
#include "transport/relay/relay_context.h"
#include "transport/relay/relay_limits.h"
#include "transport/relay/relay_task.h"

namespace tamaracktrail {

namespace {

//! Answers up to this size are buffered until they are complete, so that a
//! truncated one can be replaced by the answer of another attempt.
constexpr size_t kMaxBufferedAnswerBytes = 1024 * 1024;
//! The same while memory is short.
constexpr size_t kMaxBufferedAnswerBytesIfShort = 16 * 1024;

//! Size limit of one event of a stream; events have a few kilobytes at most.
constexpr size_t kMaxEventBytes = 256 * 1024;

//! When an endpoint dies, its connections all break within this time, and it
//! refuses new ones: an answer that ended with its connection was broken off.
//! The end is passed on after this time.
constexpr Millis kConnectionEndDelay{10};

//! Callers honour a Retry-After of up to a third of the time that remains until
//! their deadline. The fraction is smaller, as part of that time has passed
//! when the answer arrives.
constexpr double kRetryAfterFraction = 0.3;

//! Whether the bytes of an answer broke the rules of HTTP or a limit; see
//! HttpReader::Feed.
bool IsProtocolError(const absl::Status& status) {
  return absl::IsInvalidArgument(status) || absl::IsResourceExhausted(status) ||
         absl::IsOutOfRange(status);
}

}  // namespace

// --- Answers of the endpoint -----------------------------------------------

AttemptOutcome RelayTask::Classify(const HttpReader& answer) const {
  const CallDialect& dialect = context_->dialect;
  const int status = answer.status();
  if (status == 421) {
    return AttemptOutcome::kMisdirected;
  }
  if (answer.fields().Count(dialect.not_run) > 0) {
    return AttemptOutcome::kRefused;
  }
  const bool is_signed = answer.fields().Count(dialect.signature) == 1;
  if (!is_signed || answer.fields().Count("Content-Encoding") > 0) {
    return AttemptOutcome::kBroken;
  }
  if (status >= 500) {
    return AttemptOutcome::kFailed;
  }
  return AttemptOutcome::kAnswered;
}

bool RelayTask::IsForeign(const HttpReader& answer) const {
  const std::string& id_field = context_->dialect.request_id;
  const auto id = answer.fields().Find(id_field);
  // Without an id, an answer on a connection that was used before may belong to
  // an earlier request.
  const bool is_foreign =
      id ? *id != request_id_ || answer.fields().Count(id_field) != 1
         : call_->reused();
  if (is_foreign) {
    LogLine(context_->log, "foreign_answer")
        .Add("id", request_id_)
        .Add("endpoint", ticket_ ? ticket_->id : "")
        .Add("status", answer.status())
        .Add("belongs_to", id ? AsAbsl(*id) : "");
  }
  return is_foreign;
}

bool RelayTask::OnAnswerHead(const HttpReader& answer) {
  if (IsForeign(answer)) {
    return false;
  }
  answer_outcome_ = Classify(answer);
  if (answer_outcome_ != AttemptOutcome::kMisdirected) {
    ReadLeaving(answer);
    ReadLimit(answer);
    ReadWait(answer);
  }
  if (ticket_) {
    context_->registry.OnFirstByte(context_->loop->Now(), &*ticket_);
  }
  context_->loop->Cancel(&first_byte_timer_);
  answer_framing_ = answer.framing();
  const auto type = answer.fields().Find("Content-Type");
  const bool is_success = answer.status() / 100 == 2;
  // A success on a stream route is a stream unless it says otherwise.
  const bool is_event_stream =
      type ? type->find("event-stream") != std::string_view::npos : is_success;
  if (head_sent_) {
    if (answer_outcome_ == AttemptOutcome::kAnswered &&
        !(is_success && is_event_stream)) {
      // The caller's stream can only go on with events.
      answer_outcome_ = AttemptOutcome::kFailed;
    }
    return true;
  }
  answer_head_ = {};
  answer_head_.status = answer.status();
  answer_head_.reason = answer.reason();
  answer_head_.close_connection =
      context_->congestion.active() ||
      context_->RandomFraction() <
          context_->diversion.CloseFraction(context_->loop->Now());
  if (answer_framing_ == BodyFraming::kConnectionEnd) {
    // A length or a last chunk would claim that the answer is complete.
    answer_head_.framing = BodyFraming::kConnectionEnd;
  }
  for (const HttpField& it : answer.fields().all()) {
    if (!IsHopByHopField(it.name) &&
        !EqualsIgnoringCase(it.name, "Content-Length")) {
      answer_head_.fields.Add(it.name, it.value);
    }
  }
  not_event_stream_ = !is_event_stream;
  return true;
}

void RelayTask::ReadLeaving(const HttpReader& answer) {
  const CallDialect& dialect = context_->dialect;
  if (!ticket_ || dialect.parse_leaving == nullptr || !IsOwn(answer)) {
    return;
  }
  const auto leaving = dialect.parse_leaving(answer.fields());
  if (!leaving.ok()) {
    context_->metrics->Count("endpoint_leaving_unreadable_total");
    LogLine(context_->log, "leaving_unreadable")
        .Add("endpoint", ticket_->id)
        .AddQuoted("reason", std::string(leaving.status().message()));
    return;
  }
  if (*leaving && context_->registry.notices().leaving().OnAnswer(
                      context_->loop->Now(), ticket_->incarnation_hash)) {
    context_->LogLeaving(ticket_->incarnation_hash, ticket_->id, "answer");
  }
}

void RelayTask::ReadLimit(const HttpReader& answer) {
  const CallDialect& dialect = context_->dialect;
  if (!ticket_ || dialect.parse_limit == nullptr ||
      (answer.fields().Count(dialect.request_id) == 0 && !IsOwn(answer))) {
    return;
  }
  const auto limit = dialect.parse_limit(answer.fields());
  if (!limit.ok()) {
    context_->metrics->Count("endpoint_limits_unreadable_total");
    LogLine(context_->log, "limit_unreadable")
        .Add("endpoint", ticket_->id)
        .AddQuoted("reason", std::string(limit.status().message()));
    return;
  }
  if (limit->has_value() || IsOwn(answer)) {
    context_->LogLimitChange(
        ticket_->incarnation_hash, "answer",
        context_->registry.notices().limits().OnAnswer(
            context_->loop->Now(), ticket_->incarnation_hash, ticket_->sent_at,
            *limit));
  }
}

bool RelayTask::IsOwn(const HttpReader& answer) const {
  const CallDialect& dialect = context_->dialect;
  return answer.fields().Count(dialect.signature) == 1 ||
         answer.fields().Count(dialect.not_run) > 0;
}

void RelayTask::ReadWait(const HttpReader& answer) {
  if (!ticket_ || answer.status() != 503 || !IsOwn(answer)) {
    return;
  }
  const auto wait = FindRetryAfter(answer.fields());
  if (!wait.ok()) {
    context_->metrics->Count("endpoint_waits_unreadable_total");
    LogLine(context_->log, "wait_unreadable")
        .Add("id", request_id_)
        .Add("endpoint", ticket_->id)
        .AddQuoted("reason", std::string(wait.status().message()));
    return;
  }
  if (wait->has_value() && context_->registry.notices().waits().OnAsked(
                               context_->loop->Now(), ticket_->incarnation_hash,
                               **wait, context_->RandomFraction())) {
    LogLine(context_->log, "endpoint_wait")
        .Add("id", request_id_)
        .Add("endpoint", ticket_->id)
        .Add("service", service_->name)
        .Add("wait_ms", std::min(**wait, EndpointWaits::kMaxWait));
  }
}

bool RelayTask::IsStreamAnswer() const {
  return route_->kind == CallKind::kStream &&
         answer_outcome_ == AttemptOutcome::kAnswered;
}

bool RelayTask::IsForCaller() const {
  return answer_outcome_ == AttemptOutcome::kAnswered ||
         (answer_outcome_ == AttemptOutcome::kFailed && !resuming_);
}

void RelayTask::OnAnswerBody(std::string* body) {
  CountRelayed(body->size());
  if (IsStreamAnswer() && !not_event_stream_) {
    const std::string bytes = std::move(*body);
    body->clear();
    ForwardEvents(splitter_.Feed(bytes));
    if (splitter_.incomplete_bytes() > kMaxEventBytes) {
      FinishAttempt(AttemptOutcome::kBroken, "an event is too large");
    }
    return;
  }
  if (!IsForCaller()) {
    discarded_bytes_ += body->size();
    body->clear();
    if (discarded_bytes_ > kMaxBufferedAnswerBytes) {
      FinishAttempt(answer_outcome_, "the body is too large");
    }
    return;
  }
  buffered_ += *body;
  body->clear();
  if (head_sent_ && !buffered_.empty()) {
    connection_->WriteBody(buffered_);
    std::string().swap(buffered_);
  } else if (buffered_.size() > (connection_->memory_is_short()
                                     ? kMaxBufferedAnswerBytesIfShort
                                     : kMaxBufferedAnswerBytes)) {
    head_sent_ = true;
    connection_->BeginAnswer(answer_head_);
    connection_->WriteBody(buffered_);
    std::string().swap(buffered_);
  }
  connection_->SetTaskBytes(buffered_.capacity());
  if (call_ && connection_->output_is_full()) {
    call_->PauseReading(true);
  }
}

void RelayTask::ClearOfCrashes() {
  if (cleared_of_crashes_) {
    return;
  }
  cleared_of_crashes_ = true;
  const Millis now = context_->loop->Now();
  CrashSuspects& suspects = context_->crashes.suspects();
  for (const uint64_t it : shared_parts_) {
    suspects.OnAnswered(now, it);
  }
  suspects.OnAnswered(now, content_hash_);
}

void RelayTask::ForwardEvents(const std::string& bytes) {
  if (bytes.empty()) {
    return;
  }
  // An endpoint that crashes at its first token may still send it.
  if (splitter_.event_count() > events_before_attempt_ + 1) {
    ClearOfCrashes();
  }
  const Millis now = context_->loop->Now();
  if (!head_sent_) {
    head_sent_ = true;
    first_event_at_ = now;
    connection_->BeginAnswer(answer_head_);
  } else {
    longest_event_gap_ = std::max(longest_event_gap_, now - last_event_at_);
  }
  last_event_at_ = now;
  connection_->WriteBody(bytes);
  if (call_ && connection_->output_is_full()) {
    call_->PauseReading(true);
  }
}

void RelayTask::OnCallerDrained() {
  if (call_) {
    call_->PauseReading(false);
  }
}

void RelayTask::OnAnswerDone() {
  LogAnswerEnd();
  if (head_sent_ && answer_outcome_ != AttemptOutcome::kAnswered) {
    // The endpoint did not resume the stream.
    FinishAttempt(answer_outcome_, "the stream was not resumed");
    return;
  }
  if (IsStreamAnswer()) {
    const char* const broken_off = SignOfBreak();
    if (broken_off != nullptr) {
      FinishAttempt(AttemptOutcome::kBroken, broken_off);
      return;
    }
  }
  if (IsForCaller() && answer_framing_ == BodyFraming::kConnectionEnd) {
    connection_ended_at_ = context_->loop->Now();
    CheckForCrash();
    connection_end_timer_ = context_->loop->After(
        kConnectionEndDelay, [this] { CheckConnectionEnd(); });
    return;
  }
  FinishAnswer();
}

void RelayTask::CheckConnectionEnd() {
  const Millis since = connection_ended_at_ - kConnectionEndDelay;
  if (ticket_ &&
      context_->crashes.LostSince(since, ticket_->incarnation_hash)) {
    FinishAttempt(AttemptOutcome::kBroken, "the endpoint lost connections");
    return;
  }
  FinishAnswer();
}

void RelayTask::FinishAnswer() {
  if (answer_outcome_ == AttemptOutcome::kAnswered) {
    ClearOfCrashes();
  }
  FinishAttempt(answer_outcome_, "answer");
}

const char* RelayTask::SignOfBreak() const {
  if (!not_event_stream_ && splitter_.incomplete_bytes() > 0) {
    return "the stream ended inside an event";
  }
  if (answer_framing_ != BodyFraming::kConnectionEnd) {
    return nullptr;
  }
  if (!not_event_stream_ && splitter_.event_count() == events_before_attempt_) {
    return "the connection ended before an event";
  }
  if (head_sent_ &&
      connection_->answer_framing() != BodyFraming::kConnectionEnd) {
    // The caller has been told how its answer ends, and this end isn't known.
    return "the stream may be incomplete";
  }
  return nullptr;
}

void RelayTask::CheckForCrash() {
  const EndpointState* state =
      ticket_ ? context_->registry.Find(ticket_->id, ticket_->start_unix_ms)
              : nullptr;
  if (state != nullptr) {
    context_->CheckForCrash(ticket_->incarnation_hash, state->entry.address);
  }
}

void RelayTask::OnCallFailed(const absl::Status& status, bool sent) {
  malformed_answer_ = IsProtocolError(status);
  if (sent && !malformed_answer_ && !cleared_of_crashes_) {
    CheckForCrash();
  }
  if (sent) {
    context_->metrics->Count(
        absl::StrCat("broken_answers_total{error=\"",
                     absl::StatusCodeToString(status.code()), "\"}"));
  }
  AttemptOutcome outcome =
      sent ? AttemptOutcome::kBroken : AttemptOutcome::kNotSent;
  if (answer_framing_ == BodyFraming::kConnectionEnd &&
      (answer_outcome_ == AttemptOutcome::kRefused ||
       answer_outcome_ == AttemptOutcome::kMisdirected)) {
    // The head says all, and the end of the body was never known.
    outcome = answer_outcome_;
  }
  FinishAttempt(outcome, std::string(status.message()));
}

void RelayTask::DeliverBuffered() {
  finished_ = true;
  sent_buffered_success_ = answer_head_.status / 100 == 2;
  context_->loop->Cancel(&deadline_timer_);
  LogEnd(answer_head_.status, "delivered", "");
  connection_->Answer(answer_head_, buffered_);
}

void RelayTask::EndStream() {
  finished_ = true;
  context_->loop->Cancel(&deadline_timer_);
  LogEnd(answer_head_.status, "delivered", "");
  connection_->EndAnswer();
}

// --- Answers of this instance ----------------------------------------------

Millis RelayTask::RetryAfter(Millis base_delay) const {
  // Jitter spreads the retries, so that they don't all arrive at the same time.
  const Millis jittered =
      base_delay.Scaled(0.75 + 0.5 * context_->RandomFraction());
  const Millis max_delay = route_ == nullptr
                               ? kMaxRetryAfter
                               : Remaining().Scaled(kRetryAfterFraction);
  return std::max(Millis(1), std::min({std::max(jittered, kMinRetryAfter),
                                       max_delay, kMaxRetryAfter}));
}

void RelayTask::RefuseWithRetryAfter(const char* reason, Millis retry_after) {
  CHECK(!may_have_run_) << "event=refused_after_run id=" << request_id_;
  finished_ = true;
  call_.reset();
  context_->loop->Cancel(&deadline_timer_);
  const Millis wait = RetryAfter(retry_after);
  AnswerHead head;
  head.status = 503;
  head.reason = "Service Unavailable";
  head.fields.Add(
      "Retry-After",
      absl::StrFormat("%.3f", static_cast<double>(wait.count()) / 1000.0));
  if (!request_id_.empty()) {
    head.fields.Add(context_->dialect.request_id, request_id_);
  }
  head.close_connection = context_->DivertsCallers();
  LogEnd(503, "refused", reason);
  connection_->Answer(head, "");
}

void RelayTask::Fail(int status, const char* text, const char* reason) {
  finished_ = true;
  call_.reset();
  context_->loop->Cancel(&deadline_timer_);
  AnswerHead head;
  head.status = status;
  head.reason = text;
  if (!request_id_.empty()) {
    head.fields.Add(context_->dialect.request_id, request_id_);
  }
  LogEnd(status, "failed", reason);
  connection_->Answer(head, "");
}

void RelayTask::AbortAnswer(const char* reason) {
  finished_ = true;
  call_.reset();
  context_->loop->Cancel(&deadline_timer_);
  LogEnd(0, "broken_off", reason);
  connection_->Abort();
}

void RelayTask::OnDeadline() {
  if (connection_ended_at_ > Millis(0)) {
    CheckConnectionEnd();
    return;
  }
  const bool open = call_ != nullptr && call_->sent();
  may_have_run_ = may_have_run_ || open;
  if (ticket_) {
    if (!ticket_->answered) {
      ReportOutcome(AttemptOutcome::kTimedOut);
    } else {
      context_->registry.OnAbandoned(&*ticket_);
      ticket_.reset();
    }
  }
  call_.reset();
  EndShareWait();
  switch (StepAtTimeout(Progress(), open)) {
    case NextStep::kAbort:
      AbortAnswer("time_up");
      return;
    case NextStep::kRefuse:
      RefuseWithRetryAfter("time_up", kMinRetryAfter);
      return;
    default:
      Fail(504, "Gateway Timeout", "time_up");
      return;
  }
}

// --- Settlement and logging ------------------------------------------------

void RelayTask::SettleReservation() {
  if (reserved_ == 0) {
    return;
  }
  // A run is charged once its answer, or a part of it, was written to the
  // caller's connection; other runs are not charged.
  int64_t spent = 0;
  if (head_sent_ || sent_buffered_success_) {
    const int64_t output =
        service_->tokens_per_event > 0 && !not_event_stream_
            ? std::min(prompt_->max_output_tokens,
                       splitter_.event_count() * service_->tokens_per_event)
            : prompt_->max_output_tokens;
    spent = prompt_->prompt_tokens + output;
  }
  LogLine(context_->log, "charge")
      .Add("id", request_id_)
      .Add("organisation", organisation_->name)
      .Add("reserved", reserved_)
      .Add("spent", spent)
      .Add("left_in_share",
           context_->shares.GetView(context_->loop->Now(), organisation_->name)
               .available);
  context_->shares.Settle(organisation_->name, reserved_, spent);
  reserved_ = 0;
}

void RelayTask::LogAnswerEnd() {
  const char* framing = BodyFramingName(*answer_framing_);
  context_->metrics->Count(
      absl::StrCat("endpoint_answers_total{framing=\"", framing, "\"}"));
  // Answers with a length are the rule, and their end is not in doubt.
  if (answer_framing_ == BodyFraming::kLength && !head_sent_) {
    return;
  }
  LogLine(context_->log, "answer_end")
      .Add("id", request_id_)
      .Add("endpoint", ticket_ ? ticket_->id : "")
      .Add("framing", framing)
      .Add("event_stream", !not_event_stream_)
      .Add("begun", head_sent_)
      .Add("resumed", resuming_)
      .Add("events", splitter_.event_count() - events_before_attempt_)
      .Add("rest_bytes", splitter_.incomplete_bytes() + buffered_.size());
}

void RelayTask::LogEnd(int status,
                       const char* outcome,
                       const std::string& reason) {
  const Millis now = context_->loop->Now();
  context_->metrics->Count(absl::StrCat("requests_total{outcome=\"", outcome,
                                        "\",reason=\"", reason, "\"}"));
  context_->metrics->Observe(
      "request_ms",
      static_cast<double>((now - request_.first_byte_at).count()));
  if (first_event_at_ > Millis(0)) {
    context_->metrics->Observe(
        "first_event_ms",
        static_cast<double>(
            (first_event_at_ - request_.first_byte_at).count()));
  }
  LogLine line(context_->log, "request_end");
  line.Add("id", request_id_)
      .Add("status", status)
      .Add("outcome", outcome)
      .AddQuoted("reason", reason)
      .Add("route", route_ ? route_->name : "")
      .Add("organisation", organisation_ ? organisation_->name : "")
      .Add("config", config_ ? config_->version() : 0)
      .Add("ms", now - request_.first_byte_at)
      .Add("sends", sends_)
      .Add("events", splitter_.event_count());
  if (first_event_at_ > Millis(0)) {
    line.Add("first_event_ms", first_event_at_ - request_.first_byte_at)
        .Add("longest_pause_ms", longest_event_gap_);
  }
}

}  // namespace tamaracktrail
