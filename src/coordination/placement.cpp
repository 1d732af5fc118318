#include "coordination/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_state.h"
#include "coordination/prefix_cache_index.h"
#include "coordination/rendezvous.h"
#include "state/routed_service.h"

namespace tamaracktrail {

namespace {

//! Each open request of an engine slows its steps by this fraction.
constexpr double kStepSlowdownPerRequest = 0.004;

//! Attention makes the prefill time of long prompts grow faster than linearly:
//! seconds per square of the prompt's length in 1000 tokens.
constexpr double kAttentionSecondsPerKTokensSquared = 0.00012;

//! Predicted answer time of an idle endpoint for a request without a prompt to
//! prefill, ms. Each open request per slot adds the same time.
constexpr double kIdleAnswerMs = 20;

//! Cost of prefilling a shared prefix again, in addition to the prefill time,
//! ms per 1000 tokens: the prefix is then cached twice and evicts other
//! entries.
constexpr double kPrefillAgainCostMsPerKTokens = 40;

//! Cost of fetching a shared prefix from another engine's memory, in addition
//! to the fetch time, ms per 1000 tokens.
constexpr double kFetchCostMsPerKTokens = 4;
//! Time to set up a fetch, ms.
constexpr double kFetchSetupMs = 5;
//! Fewer tokens than this are prefilled faster than they are fetched.
constexpr int64_t kMinFetchTokens = 400;

//! Cost of an endpoint in another data centre, ms: requests use bandwidth of
//! the links between data centres and fail when these are cut.
constexpr double kOtherDataCentreCostMs = 4;

//! An endpoint with a limit that has room is chosen before others that cost up
//! to this much less, ms: room that is not used in time is lost.
constexpr double kUnusedLimitMs = 20;

//! Cost of a request that is certain to fail, ms.
constexpr double kFailureCostMs = 1500;

//! An endpoint with an overdue answer costs this fraction of the delay.
constexpr double kOverdueFactor = 0.5;

//! An answer that is overdue by up to this time adds no cost.
constexpr Millis kToleratedDelay{300};

//! An engine prefills this many tokens between two tokens of its streams.
constexpr double kChunkTokens = 2048;
//! Time of a step without prefill and for each open request, ms: engine types
//! take 3.1 to 3.8 and 0.08 to 0.10.
constexpr double kStepMs = 3.4;
constexpr double kStepMsPerRequest = 0.09;

//! Prefilling delays the streams of an engine if the pause between two events
//! is predicted to exceed this fraction of its target; the measured speeds and
//! the load that peers report are wrong by a few tenths.
constexpr double kToleratedPauseFraction = 0.6;
//! Cost for each open request, if the prompt takes up the whole pause, ms.
constexpr double kLateStreamMs = 60;

//! Random cost that keeps instances with the same view from all choosing the
//! same endpoint, ms.
constexpr double kMaxJitterMs = 6;
//! The same for engines: about the error of the measured speeds, as otherwise
//! all instances choose the one that appears to be the fastest.
constexpr double kMaxEngineJitterMs = 30;

//! A first event within this fraction of its target is good enough: faster
//! engines don't cost less, and a session's engine is kept. Without this, all
//! sessions move from the slower engines to the fastest, which get more
//! requests within the delay of the reports than they have slots.
constexpr double kCertainFraction = 0.4;

//! A prefix that was last used longer ago may have been evicted from the
//! engine's cache.
constexpr Millis kPrefixCacheLifetime{20000};

double AttentionMs(int64_t tokens) {
  const double k_tokens = static_cast<double>(tokens) / 1000;
  return kAttentionSecondsPerKTokensSquared * 1000 * k_tokens * k_tokens;
}

double EventTokens(const Placement::Request& request) {
  return std::max(1, request.service->tokens_per_event);
}

//! Returns the predicted pause between two events of the streams at an engine
//! that has `tokens` to prefill.
double PauseMs(const Placement::Request& request,
               const ServiceSpeed& speed,
               const EndpointState& state,
               int64_t tokens) {
  const double steps = EventTokens(request);
  return state.speed_factor *
         (steps * (kStepMs + kStepMsPerRequest * state.open()) +
          std::min(steps * kChunkTokens, static_cast<double>(tokens)) /
              speed.tokens_per_ms());
}

//! Returns the cost of the delay that a prompt with `own_tokens` to prefill
//! causes to the streams at an engine.
double LateStreamCostMs(const Placement::Request& request,
                        const ServiceSpeed& speed,
                        const EndpointState& state,
                        const PrefillWork& work,
                        int64_t own_tokens) {
  const auto target = static_cast<double>(request.gap_target.count());
  if (target <= 0 || PauseMs(request, speed, state, work.tokens) <=
                         kToleratedPauseFraction * target) {
    return 0;
  }
  return kLateStreamMs * state.open() *
         std::min(1.0, static_cast<double>(own_tokens) /
                           (EventTokens(request) * kChunkTokens));
}

double FetchMs(const RoutedService& service, int64_t tokens) {
  const double bits = static_cast<double>(tokens) * 8 *
                      static_cast<double>(service.kv_token_bytes);
  // Mbit/s * 1000 = bits per ms.
  return kFetchSetupMs + bits / (service.link_mbps * 1000);
}

PrefillWork WorkOf(const EndpointState& state, int64_t own_tokens) {
  PrefillWork work;
  work.tokens = std::max<int64_t>(0, state.uncached_tokens()) + own_tokens;
  work.slowdown = 1 + kStepSlowdownPerRequest * state.open();
  work.attention_ms = AttentionMs(own_tokens);
  return work;
}

//! Returns the time to the first event with a free slot.
double PredictedMs(const ServiceSpeed& speed,
                   const EndpointState& state,
                   const PrefillWork& work) {
  return (speed.TimeToFirstEvent(static_cast<double>(work.tokens)) +
          work.attention_ms) *
         work.slowdown * state.speed_factor;
}

//! Returns the time that a request waits until one of the open ones ends.
double SlotWaitMs(const ServiceSpeed& speed, const EndpointState& state) {
  const double slots = std::max(1, state.entry.slots);
  return std::max(0.0, state.open() + 1 - slots) / slots * speed.answer_ms() *
         state.speed_factor;
}

double HealthCostMs(Millis now, const EndpointState& state) {
  double ms = DecayedFailureRate(now, state) * kFailureCostMs;
  if (!state.first_bytes_due_ms.empty()) {
    ms += kOverdueFactor *
          static_cast<double>(std::max<int64_t>(
              0, now.count() - *state.first_bytes_due_ms.begin() -
                     kToleratedDelay.count()));
  }
  return ms;
}

}  // namespace

struct Placement::Estimate {
  double cost_ms = 0;           //!< Prediction with all penalties.
  double predicted_ms = 0;      //!< To the first event.
  int64_t uncached_tokens = 0;  //!< Prompt tokens to prefill.
  PrefillWork work;             //!< Of an engine.
  double slot_wait_ms = 0;      //!< Until a slot of the engine is free.
  //! Engine to fetch the shared prefix from; nullptr for none.
  const EndpointState* fetch_from = nullptr;
};

Placement::Placement(const EndpointRegistry* registry,
                     const PrefixCacheIndex* prefix_index,
                     std::string data_centre)
    : registry_(registry),
      prefix_index_(prefix_index),
      data_centre_(std::move(data_centre)) {}

bool Placement::HasPrefixCached(Millis now,
                                uint64_t prefix,
                                const EndpointState& state) const {
  const auto* locations = prefix_index_->Find(prefix);
  return locations != nullptr &&
         std::any_of(locations->begin(), locations->end(),
                     [&](const PrefixCacheIndex::CacheLocation& it) {
                       return it.endpoint == state.incarnation_hash &&
                              now - it.last_used < kPrefixCacheLifetime;
                     });
}

const EndpointState* Placement::FindPrefixSource(
    Millis now,
    uint64_t prefix,
    const EndpointState* preferred) const {
  const auto* locations = prefix_index_->Find(prefix);
  const EndpointState* found = nullptr;
  Millis latest_use;
  if (locations != nullptr) {
    for (const PrefixCacheIndex::CacheLocation& it : *locations) {
      const EndpointState* state = registry_->FindByHash(it.endpoint);
      if (state != nullptr && now - it.last_used < kPrefixCacheLifetime &&
          it.last_used > latest_use && now >= state->suspended_until &&
          !registry_->notices().IsRestricted(now, it.endpoint)) {
        found = state;
        latest_use = it.last_used;
      }
    }
  }
  return found != nullptr ? found : preferred;
}

Placement::Estimate Placement::EstimateEngine(
    Millis now,
    const Request& request,
    const ServiceSpeed& speed,
    const EndpointState& state,
    const EndpointState* preferred) const {
  const PromptShape& prompt = *request.prompt;
  int64_t cached_tokens = 0;
  int64_t shared_tokens = 0;
  bool all_cached = true;
  for (size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    shared_tokens += prompt.parts[i].tokens;
    // The preferred engine is assumed to have the shared prefix cached, since
    // the requests of the session at all instances prefer it.
    all_cached = all_cached &&
                 (&state == preferred ||
                  HasPrefixCached(now, (*request.prefix_hashes)[i], state));
    cached_tokens += all_cached ? prompt.parts[i].tokens : 0;
  }
  Estimate estimate;
  double fetch_ms = 0;
  const int64_t missing_tokens = shared_tokens - cached_tokens;
  if (missing_tokens >= kMinFetchTokens && request.service->link_mbps > 0) {
    const uint64_t prefix = (*request.prefix_hashes)[prompt.parts.size() - 2];
    const EndpointState* source = FindPrefixSource(now, prefix, preferred);
    if (source != nullptr && source != &state) {
      estimate.fetch_from = source;
      fetch_ms = FetchMs(*request.service, missing_tokens);
    }
  }
  const bool fetches = estimate.fetch_from != nullptr;
  estimate.uncached_tokens = std::max<int64_t>(
      0, prompt.prompt_tokens - (fetches ? shared_tokens : cached_tokens));
  estimate.work = WorkOf(state, estimate.uncached_tokens);
  estimate.slot_wait_ms = SlotWaitMs(speed, state);
  estimate.predicted_ms = estimate.slot_wait_ms + fetch_ms +
                          PredictedMs(speed, state, estimate.work);
  estimate.cost_ms =
      std::max(estimate.predicted_ms,
               kCertainFraction *
                   static_cast<double>(request.first_event_target.count())) +
      (fetches ? kFetchCostMsPerKTokens : kPrefillAgainCostMsPerKTokens) *
          static_cast<double>(missing_tokens) / 1000;
  estimate.cost_ms += LateStreamCostMs(request, speed, state, estimate.work,
                                       estimate.uncached_tokens);
  return estimate;
}

double Placement::EstimateWithoutPrefill(const EndpointState& state) {
  const double slots = std::max(1, state.entry.slots);
  return kIdleAnswerMs * (1 + static_cast<double>(state.open()) / slots) *
         state.latency_ratio;
}

const EndpointState* Placement::FindPreferred(
    Millis now,
    const Request& request,
    const std::vector<const EndpointState*>& usable) const {
  const EndpointState* preferred = nullptr;
  if (request.prefix_hashes->size() < 2) {
    return preferred;
  }
  // The last part is specific to the request; the prefix before it identifies
  // the session.
  const uint64_t session =
      (*request.prefix_hashes)[request.prefix_hashes->size() - 2];
  uint64_t best = 0;
  for (const EndpointState* it : usable) {
    // Few requests of a session could follow the first one there.
    if (registry_->notices().IsRestricted(now, it->incarnation_hash)) {
      continue;
    }
    const uint64_t weight = RendezvousWeight(session, it->incarnation_hash);
    if (preferred == nullptr || weight > best) {
      best = weight;
      preferred = it;
    }
  }
  return preferred;
}

Placement::Estimate Placement::EstimateEndpoint(
    Millis now,
    const Request& request,
    const ServiceSpeed& speed,
    const EndpointState& state,
    const EndpointState* preferred) const {
  Estimate estimate;
  if (request.prompt != nullptr && request.service->has_engines) {
    estimate = EstimateEngine(now, request, speed, state, preferred);
  } else {
    estimate.predicted_ms = EstimateWithoutPrefill(state);
    estimate.cost_ms = estimate.predicted_ms;
  }
  estimate.cost_ms += HealthCostMs(now, state);
  if (state.entry.data_centre != data_centre_) {
    estimate.cost_ms += kOtherDataCentreCostMs;
  }
  if (registry_->notices().limits().IsLimited(state.incarnation_hash)) {
    estimate.cost_ms -= kUnusedLimitMs;
  }
  return estimate;
}

std::optional<Placement::Choice> Placement::Choose(Millis now,
                                                   const Request& request,
                                                   double jitter) const {
  const auto usable = registry_->Usable(now, request.service->name);
  const EndpointState* preferred =
      request.prompt != nullptr ? FindPreferred(now, request, usable) : nullptr;
  const ServiceSpeed& speed = registry_->SpeedOf(request.service->name);
  const double max_jitter =
      request.prompt != nullptr && request.service->has_engines
          ? kMaxEngineJitterMs
          : kMaxJitterMs;
  const EndpointState* chosen = nullptr;
  Estimate chosen_estimate;
  double min_cost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < usable.size(); ++i) {
    const EndpointState& state = *usable[i];
    if (request.tried != nullptr &&
        request.tried->contains(state.incarnation_hash)) {
      continue;
    }
    const Estimate estimate =
        EstimateEndpoint(now, request, speed, state, preferred);
    // The fraction of this product gives each endpoint its own random cost from
    // one random number.
    const double scaled_jitter = jitter * static_cast<double>(i + 1);
    const double cost =
        estimate.cost_ms +
        max_jitter * (scaled_jitter - std::floor(scaled_jitter));
    if (cost < min_cost) {
      min_cost = cost;
      chosen = &state;
      chosen_estimate = estimate;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  Choice choice;
  choice.id = chosen->entry.id;
  choice.start_unix_ms = chosen->entry.start_unix_ms;
  choice.incarnation_hash = chosen->incarnation_hash;
  choice.address = chosen->entry.address;
  choice.predicted = Millis(static_cast<int64_t>(chosen_estimate.predicted_ms));
  choice.uncached_tokens = chosen_estimate.uncached_tokens;
  if (chosen_estimate.fetch_from != nullptr) {
    choice.fetch_from = chosen_estimate.fetch_from->entry.address;
  } else if (request.prompt != nullptr && request.service->has_engines &&
             chosen_estimate.slot_wait_ms == 0) {
    choice.work = chosen_estimate.work;
  }
  return choice;
}

}  // namespace tamaracktrail
