#include <algorithm>
#include <cstdint>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "protocol/text.h"
#include "state/digest.h"
#include "state/routing_config.h"
#include "transport/event_loop.h"
#include "transport/relay/relay_context.h"
#include "transport/relay/relay_limits.h"
#include "transport/relay/relay_task.h"

namespace tamaracktrail {

bool RelayTask::Admit() {
  const CallDialect& dialect = context_->dialect;
  request_id_ = std::string(
      request_.fields.Find(dialect.request_id).value_or(std::string_view()));
  if (config_ == nullptr) {
    Refuse("no_configuration", kNoConfigWait);
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
  if (context_->ends_at > Millis(0) && !FitsBeforeEnd()) {
    Refuse("draining", kLeastRetryAfter);
    return false;
  }
  Millis allowed = route_->timeout;
  int64_t deadline = 0;
  const auto text = request_.fields.Find(dialect.deadline);
  if (text && absl::SimpleAtoi(AsAbsl(*text), &deadline) && deadline > 0) {
    allowed = std::min(allowed, Millis(deadline));
  }
  ends_ = request_.began + allowed - kEndMargin;
  return AdmitSize();
}

bool RelayTask::FitsBeforeEnd() const {
  const Millis now = context_->loop->Now();
  return route_->kind == CallKind::kStream
             ? now <= context_->last_stream_at
             : now + route_->timeout <= context_->ends_at;
}

bool RelayTask::FindOrganisation() {
  rank_ = route_->priority;
  if (!config_->has_organisations()) {
    return true;
  }
  const auto field = request_.fields.Find("Authorization");
  if (field && request_.fields.Count("Authorization") == 1 &&
      EqualsIgnoringCase(field->substr(0, 7), "Bearer ")) {
    organisation_ = config_->FindByKey(std::string(field->substr(7)));
  }
  if (organisation_ != nullptr) {
    // An organisation's rank goes before its routes' ranks.
    constexpr int kRouteRanks = 3;
    rank_ = organisation_->priority * kRouteRanks +
            std::min(route_->priority, kRouteRanks - 1);
  }
  return organisation_ != nullptr || route_->is_public;
}

bool RelayTask::AdmitSize() {
  int total = 0;
  for (const Route::Part& it : route_->split) {
    total += std::max(0, it.weight);
  }
  int at = static_cast<int>(context_->Draw() * total);
  for (const Route::Part& it : route_->split) {
    service_ = config_->FindService(it.service);
    at -= it.weight;
    if (at < 0) {
      break;
    }
  }
  if (service_ == nullptr) {
    Refuse("no_service", kNoEndpointWait);
    return false;
  }
  context_->Retries(service_->name).OnRequest();
  prompt_ = context_->dialect.read_prompt(request_.fields);
  if (prompt_) {
    chain_ = PrefixMemory::Chain(prompt_->parts);
  }
  content_ = StableHash(
      *request_.body,
      StableHash(absl::StrCat(request_.method, " ", request_.target, " ",
                              organisation_ ? organisation_->name : "")));
  if (context_->crashes.IsBlocked(content_)) {
    Refuse("crashes_endpoints", kMostRetryAfter);
    return false;
  }
  return true;
}

}  // namespace tamaracktrail
