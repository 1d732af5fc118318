#include "protocol/result_info.h"

#include <glog/logging.h>

namespace tamaracktrail {

namespace {

using R = ResultCode;
constexpr RunState kNotRun = RunState::kNotRun;
constexpr RunState kRan = RunState::kRan;
constexpr RunState kOutcomeUnknown = RunState::kOutcomeUnknown;

constexpr ResultInfo kResults[] = {
    {R::kOk, "ok", 200, kRan, 0, "The whole answer was delivered."},
    {R::kAlreadyBilled, "already_billed", 409, kRan, 0,
     "The key was billed already; its answer is no longer kept."},
    {R::kAlreadyRan, "already_ran", 409, kRan, 0,
     "The non-repeatable request ran already; it is not run again."},
    {R::kBadRequest, "bad_request", 400, kNotRun, 0,
     "The request is malformed."},
    {R::kUnauthorized, "unauthorized", 401, kNotRun, 0,
     "The bearer key names no organisation."},
    {R::kUnknownModel, "unknown_model", 404, kNotRun, 0,
     "No service offers the model."},
    {R::kUnknownService, "unknown_service", 404, kNotRun, 0,
     "No service has the name."},
    {R::kBodyTooLarge, "body_too_large", 413, kNotRun, 0,
     "The body is above limits.max_body_bytes."},
    {R::kTooManyTokens, "too_many_tokens", 400, kNotRun, 0,
     "max_tokens is above limits.max_tokens."},
    {R::kKeyTooOld, "key_too_old", 409, kNotRun, 0,
     "The UUIDv7 key is older than the key window; an earlier run of it may "
     "have been forgotten."},
    {R::kHeadersTooLarge, "headers_too_large", 431, kNotRun, 0,
     "The headers are above limits.max_header_bytes."},
    {R::kBudgetExhausted, "budget_exhausted", 402, kNotRun, 0,
     "The organisation's prepaid tokens do not cover the worst case."},
    {R::kBudgetHeldElsewhere, "budget_held_elsewhere", 429, kNotRun, 2,
     "The rest of the budget is held by other keepers."},
    {R::kBudgetUnavailable, "budget_unavailable", 503, kNotRun, 2,
     "The local share is spent and the log does not answer."},
    {R::kQueueFull, "queue_full", 429, kNotRun, 1,
     "The entry's queue is full."},
    {R::kDeadlineExceeded, "deadline_exceeded", 504, kNotRun, 1,
     "The request waited for its whole queue deadline."},
    {R::kTooManyStreams, "too_many_streams", 429, kNotRun, 1,
     "The instance has limits.max_streams requests open."},
    {R::kSlowReader, "slow_reader", 408, kRan, 0,
     "The caller did not read its answer in time."},
    {R::kCallerGone, "caller_gone", 499, kRan, 0,
     "The caller closed its connection before the end; not billed."},
    {R::kRetryBudgetSpent, "retry_budget_spent", 503, kRan, 2,
     "The attempt failed and the retry budget is spent."},
    {R::kNoConfiguration, "no_configuration", 503, kNotRun, 2,
     "The instance has no configuration yet."},
    {R::kLogUnavailable, "log_unavailable", 503, kNotRun, 5,
     "The claim of a non-repeatable request could not be confirmed."},
    {R::kKeeperUnreachable, "keeper_unreachable", 503, kNotRun, 2,
     "The budget's keeper did not answer."},
    {R::kShuttingDown, "shutting_down", 503, kNotRun, 1,
     "The instance is shutting down."},
    {R::kRequestInProgress, "request_in_progress", 409, kOutcomeUnknown, 2,
     "The same key is in progress."},
    {R::kOutcomeUnknown, "outcome_unknown", 409, kOutcomeUnknown, 0,
     "The non-repeatable request may have run; it is not run again."},
    {R::kChargeNotSafe, "charge_not_safe", 503, kRan, 2,
     "Neither a peer nor the log took the charge in time; the answer is "
     "withheld, and its charge is voided as soon as either can be reached."},
    {R::kNoEndpoint, "no_endpoint", 503, kNotRun, 2,
     "No healthy endpoint serves this."},
    {R::kEndpointRefused, "endpoint_refused", 503, kNotRun, 1,
     "Each endpoint that was tried refused the request."},
    {R::kEndpointLost, "endpoint_lost", 502, kRan, 1,
     "The endpoint was lost before the answer was whole; not billed."},
    {R::kAnswerIncomplete, "answer_incomplete", 502, kRan, 1,
     "The endpoint ended the answer out of order or too early; not billed."},
    {R::kPoisonRequest, "poison_request", 422, kRan, 0,
     "The content has crashed two endpoints and is not run again."},
    {R::kEndpointError, "endpoint_error", 502, kRan, 0,
     "The endpoint answered with an error; not billed."},
    {R::kContentOnTrial, "content_on_trial", 503, kNotRun, 5,
     "The content has crashed an endpoint and its one repeat is in progress."},
};

}  // namespace

std::span<const ResultInfo> AllResults() {
  return kResults;
}

const ResultInfo& InfoOf(ResultCode code) {
  for (const ResultInfo& it : kResults) {
    if (it.code == code) {
      return it;
    }
  }
  LOG(FATAL) << "no ResultInfo for result code " << static_cast<int>(code);
}

}  // namespace tamaracktrail
