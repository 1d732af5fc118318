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

//! Prompt tokens that an engine prefills per millisecond. Engine types prefill
//! 61 to 68; the latency ratio of each endpoint corrects for its actual speed.
constexpr double kPrefillTokensPerMs = 60;

//! Time from the send to the first event with no tokens to prefill, ms.
constexpr double kFirstEventBaseMs = 45;

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

//! Prefilling more tokens than this delays all streams of the engine.
constexpr int64_t kLongPrefillTokens = 16000;
//! Cost of that delay for each open request, ms.
constexpr double kStreamDelayMs = 15;

//! Random cost that keeps instances with the same view from all choosing the
//! same endpoint, ms.
constexpr double kMaxJitterMs = 6;

//! A prefix that was last used longer ago may have been evicted from the
//! engine's cache.
constexpr Millis kPrefixCacheLifetime{20000};

double PrefillMs(int64_t tokens) {
  const double k_tokens = static_cast<double>(tokens) / 1000;
  return static_cast<double>(tokens) / kPrefillTokensPerMs +
         kAttentionSecondsPerKTokensSquared * 1000 * k_tokens * k_tokens;
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
    const Request& request,
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
          !registry_->evacuated().Contains(state->entry.data_centre) &&
          registry_->IsAllowed(request.allowed_regions, *state) &&
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
    const EndpointState* source =
        FindPrefixSource(now, request, prefix, preferred);
    if (source != nullptr && source != &state) {
      estimate.fetch_from = source;
      const double bits = static_cast<double>(missing_tokens) * 8 *
                          static_cast<double>(request.service->kv_token_bytes);
      // Mbit/s * 1000 = bits per ms.
      fetch_ms = kFetchSetupMs + bits / (request.service->link_mbps * 1000);
    }
  }
  const bool fetches = estimate.fetch_from != nullptr;
  estimate.uncached_tokens = std::max<int64_t>(
      0, prompt.prompt_tokens - (fetches ? shared_tokens : cached_tokens));
  const double latency_factor =
      state.latency_ratio * (1 + kStepSlowdownPerRequest * state.open());
  const double queued_ms =
      static_cast<double>(std::max<int64_t>(0, state.uncached_tokens())) /
      kPrefillTokensPerMs;
  estimate.predicted_ms =
      (kFirstEventBaseMs + queued_ms + PrefillMs(estimate.uncached_tokens)) *
          latency_factor +
      fetch_ms;
  estimate.cost_ms =
      estimate.predicted_ms +
      (fetches ? kFetchCostMsPerKTokens : kPrefillAgainCostMsPerKTokens) *
          static_cast<double>(missing_tokens) / 1000;
  if (estimate.uncached_tokens > kLongPrefillTokens) {
    estimate.cost_ms += kStreamDelayMs * state.open();
  }
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
    const EndpointState& state,
    const EndpointState* preferred) const {
  Estimate estimate;
  if (request.prompt != nullptr && request.service->has_engines) {
    estimate = EstimateEngine(now, request, state, preferred);
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
  const auto usable =
      registry_->Usable(now, request.service->name, request.allowed_regions);
  const EndpointState* preferred =
      request.prompt != nullptr ? FindPreferred(now, request, usable) : nullptr;
  const EndpointState* chosen = nullptr;
  Estimate chosen_estimate;
  double min_cost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < usable.size(); ++i) {
    const EndpointState& state = *usable[i];
    if (request.tried != nullptr &&
        request.tried->contains(state.incarnation_hash)) {
      continue;
    }
    const Estimate estimate = EstimateEndpoint(now, request, state, preferred);
    // The fraction of this product gives each endpoint its own random cost from
    // one random number.
    const double scaled_jitter = jitter * static_cast<double>(i + 1);
    const double cost =
        estimate.cost_ms +
        kMaxJitterMs * (scaled_jitter - std::floor(scaled_jitter));
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
  }
  return choice;
}

}  // namespace tamaracktrail
