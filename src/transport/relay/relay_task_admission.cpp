#include <algorithm>
#include <cstdint>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "protocol/text.h"
#include "state/digest.h"
#include "state/routing_config.h"
#include "transport/event_loop.h"
#include "transport/log_line.h"
#include "transport/relay/caller_connection.h"
#include "transport/relay/relay_context.h"
#include "transport/relay/relay_limits.h"
#include "transport/relay/relay_task.h"

namespace tamaracktrail {

bool RelayTask::Admit() {
  const CallDialect& dialect = context_->dialect;
  request_id_ = std::string(
      request_.fields.Find(dialect.request_id).value_or(std::string_view()));
  context_->loop->SetTurnOwner("request", connection_->peer(), request_id_);
  if (config_ == nullptr) {
    RefuseWithRetryAfter("no_configuration", kNoConfigRetryAfter);
    return false;
  }
  if (request_id_.empty() || request_.fields.Count(dialect.request_id) != 1) {
    Fail(400, "Bad Request", "no_request_id");
    return false;
  }
  route_ = config_->FindRoute(
      request_.fields.Find("Host").value_or(std::string_view()),
      request_.target);
  if (route_ == nullptr) {
    Fail(404, "Not Found", "no_route");
    return false;
  }
  if (!FindOrganisation()) {
    Fail(401, "Unauthorized", "unknown_key");
    return false;
  }
  allowed_regions_ = AllowedRegions(
      &route_->allowed_regions,
      organisation_ == nullptr ? nullptr : &organisation_->allowed_regions);
  if (context_->exit_deadline > Millis(0) && !CanFinishBeforeExit()) {
    RefuseWithRetryAfter("draining", kMinRetryAfter);
    return false;
  }
  Millis allowed = route_->timeout;
  int64_t timeout_ms = 0;
  const auto text = request_.fields.Find(dialect.deadline);
  if (text && absl::SimpleAtoi(AsAbsl(*text), &timeout_ms) && timeout_ms > 0) {
    allowed = std::min(allowed, Millis(timeout_ms));
  }
  deadline_ = request_.first_byte_at + allowed - kDeadlineMargin;
  return AdmitToService();
}

bool RelayTask::CanFinishBeforeExit() const {
  const Millis now = context_->loop->Now();
  return route_->kind == CallKind::kStream
             ? now <= context_->stream_admission_end
             : now + route_->timeout <= context_->exit_deadline;
}

bool RelayTask::FindOrganisation() {
  rank_ = route_->priority;
  if (!config_->has_organisations()) {
    return true;
  }
  const auto field = request_.fields.Find("Authorization");
  if (field && request_.fields.Count("Authorization") == 1 &&
      EqualsIgnoringCase(field->substr(0, 7), "Bearer ")) {
    organisation_ =
        config_->FindOrganisationByKey(std::string(field->substr(7)));
  }
  if (organisation_ != nullptr) {
    // The organisation's priority precedes the route's priority. Route
    // priorities above 2 count as 2, so that they don't reach the next rank of
    // organisations.
    constexpr int kRouteRanks = 3;
    rank_ = organisation_->priority * kRouteRanks +
            std::min(route_->priority, kRouteRanks - 1);
  }
  return organisation_ != nullptr || route_->is_public;
}

bool RelayTask::AdmitToService() {
  int total = 0;
  for (const Route::WeightedService& it : route_->weighted_services) {
    total += std::max(0, it.weight);
  }
  int remaining_weight = static_cast<int>(context_->RandomFraction() * total);
  for (const Route::WeightedService& it : route_->weighted_services) {
    service_ = config_->FindService(it.service);
    remaining_weight -= it.weight;
    if (remaining_weight < 0) {
      break;
    }
  }
  if (service_ == nullptr) {
    RefuseWithRetryAfter("no_service", kNoEndpointRetryAfter);
    return false;
  }
  Retries().OnRequest();
  CountRelayed(request_.body->size());
  const auto prompt = context_->dialect.parse_prompt(request_.fields);
  if (!prompt.ok()) {
    Fail(400, "Bad Request", "bad_token_usage");
    return false;
  }
  prompt_ = *prompt;
  if (prompt_) {
    prefix_hashes_ = PrefixCacheIndex::HashPrefixes(prompt_->parts);
    // The last part belongs to this request or its session alone.
    for (size_t i = 0; i + 1 < prompt_->parts.size(); ++i) {
      shared_parts_.push_back(StableHash(prompt_->parts[i].id));
    }
  }
  content_hash_ = StableHash(
      *request_.body,
      StableHash(absl::StrCat(request_.method, " ", request_.target, " ",
                              organisation_ ? organisation_->name : "")));
  if (CrashesEndpoints()) {
    RefuseWithRetryAfter("crashes_endpoints", kMaxRetryAfter);
    return false;
  }
  return true;
}

void RelayTask::CountRelayed(size_t bytes) const {
  if (organisation_ != nullptr) {
    context_->diversion.OnRelayed(context_->loop->Now(),
                                  StableHash(organisation_->name), bytes);
  }
}

bool RelayTask::CrashesEndpoints() const {
  const Millis now = context_->loop->Now();
  const CrashSuspects& suspects = context_->crashes.suspects();
  for (size_t i = 0; i < shared_parts_.size(); ++i) {
    if (suspects.IsPartBlocked(now, shared_parts_[i])) {
      LogLine(context_->log, "part_blocked")
          .Add("id", request_id_)
          .Add("part", prompt_->parts[i].id)
          .Add("crashes", suspects.CountCrashes(shared_parts_[i]));
      return true;
    }
  }
  if (suspects.IsContentBlocked(now, content_hash_)) {
    LogLine(context_->log, "content_blocked")
        .Add("id", request_id_)
        .Add("content", content_hash_)
        .Add("crashes", suspects.CountCrashes(content_hash_));
    return true;
  }
  return false;
}

}  // namespace tamaracktrail
