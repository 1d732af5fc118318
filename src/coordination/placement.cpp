#include "coordination/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "coordination/endpoint_board.h"
#include "coordination/endpoint_state.h"
#include "coordination/prefix_memory.h"
#include "coordination/rendezvous.h"
#include "state/routed_service.h"

namespace tamaracktrail {

namespace {

//! Prompt tokens that an engine reads in a millisecond. Engines of the present
//! kinds read 61 to 68; the smoothed slowness of each corrects the rest.
constexpr double kTokensPerMs = 60;

//! From the send to the first event without any prompt to read, ms.
constexpr double kFirstEventMs = 45;

//! Each open request of an engine slows its steps by about this part.
constexpr double kStepLoad = 0.004;

//! Attention makes long prompts cost more than in proportion: milliseconds by
//! the square of thousands of tokens.
constexpr double kAttentionMsPerKSquared = 0.00012;

//! Answer time of a plain endpoint per open request and slot, ms.
constexpr double kPlainMs = 20;

//! What reading a shared part again costs beyond its time, as milliseconds for
//! each thousand tokens: the engine's cache holds it twice and something else
//! is lost from there.
constexpr double kRereadMsPerK = 40;

//! The same where the engine fetches the part from another one's memory.
constexpr double kFetchMsPerK = 4;
//! Time to begin a fetch, ms.
constexpr double kFetchMs = 5;
//! Fewer tokens are read again faster than they are fetched.
constexpr int64_t kLeastFetch = 400;

//! Leaving the data centre costs bytes on its links and fails when it is cut.
constexpr double kOtherDataCentreMs = 4;

//! A request that certainly fails costs about this much.
constexpr double kFailureMs = 1500;

//! An endpoint that is late with an answer costs this part of its delay.
constexpr double kSilenceFactor = 0.5;

//! A late answer says nothing below this.
constexpr Millis kToleratedDelay{300};

//! A prompt of more tokens than this makes all streams of its engine pause.
constexpr int64_t kLongPrompt = 16000;
//! What that costs for each open stream, ms.
constexpr double kPauseMs = 15;

//! Keeps instances with the same view from choosing alike, ms.
constexpr double kJitterMs = 6;

//! A beginning that was read longer ago may have left the engine's cache.
constexpr Millis kCacheLasts{20000};

double ReadMs(int64_t tokens) {
  const double k = static_cast<double>(tokens) / 1000;
  return static_cast<double>(tokens) / kTokensPerMs +
         kAttentionMsPerKSquared * 1000 * k * k;
}

double HealthMs(Millis now, const EndpointState& state) {
  double ms = FailuresNow(now, state) * kFailureMs;
  if (!state.due.empty()) {
    ms += kSilenceFactor *
          static_cast<double>(std::max<int64_t>(
              0, now.count() - *state.due.begin() - kToleratedDelay.count()));
  }
  return ms;
}

}  // namespace

struct Placement::Estimate {
  double cost_ms = 0;       //!< All that counts in the choice.
  double predicted_ms = 0;  //!< To the first event.
  int64_t unread = 0;       //!< Prompt tokens to read.
  const EndpointState* fetch_from = nullptr;
};

Placement::Placement(const EndpointBoard* board,
                     const PrefixMemory* memory,
                     std::string data_centre)
    : board_(board), memory_(memory), data_centre_(std::move(data_centre)) {}

bool Placement::Holds(Millis now,
                      uint64_t beginning,
                      const EndpointState& state) const {
  const auto* holders = memory_->Find(beginning);
  return holders != nullptr && std::any_of(holders->begin(), holders->end(),
                                           [&](const PrefixMemory::Holder& it) {
                                             return it.endpoint == state.hash &&
                                                    now - it.used < kCacheLasts;
                                           });
}

const EndpointState* Placement::FindHolder(Millis now,
                                           uint64_t beginning,
                                           const EndpointState* home) const {
  const auto* holders = memory_->Find(beginning);
  const EndpointState* found = nullptr;
  Millis latest;
  if (holders != nullptr) {
    for (const PrefixMemory::Holder& it : *holders) {
      const EndpointState* state = board_->FindByHash(it.endpoint);
      if (state != nullptr && now - it.used < kCacheLasts && it.used > latest &&
          now >= state->suspended_until) {
        found = state;
        latest = it.used;
      }
    }
  }
  return found != nullptr ? found : home;
}

Placement::Estimate Placement::EstimateEngine(Millis now,
                                              const Request& request,
                                              const EndpointState& state,
                                              const EndpointState* home) const {
  const PromptShape& prompt = *request.prompt;
  int64_t cached = 0;
  int64_t shared = 0;
  bool holds_all = true;
  for (size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    shared += prompt.parts[i].tokens;
    holds_all =
        holds_all && (&state == home || Holds(now, (*request.chain)[i], state));
    cached += holds_all ? prompt.parts[i].tokens : 0;
  }
  Estimate estimate;
  double fetch_ms = 0;
  const int64_t missing = shared - cached;
  if (missing >= kLeastFetch && request.service->link_mbps > 0) {
    const uint64_t beginning = (*request.chain)[prompt.parts.size() - 2];
    const EndpointState* holder = FindHolder(now, beginning, home);
    if (holder != nullptr && holder != &state) {
      estimate.fetch_from = holder;
      const double bits = static_cast<double>(missing) * 8 *
                          static_cast<double>(request.service->token_bytes);
      fetch_ms = kFetchMs + bits / (request.service->link_mbps * 1000);
    }
  }
  const bool fetches = estimate.fetch_from != nullptr;
  estimate.unread =
      std::max<int64_t>(0, prompt.prompt_tokens - (fetches ? shared : cached));
  const double slow = state.slowness * (1 + kStepLoad * state.open());
  const double ahead =
      static_cast<double>(std::max<int64_t>(0, state.prompt_tokens())) /
      kTokensPerMs;
  estimate.predicted_ms =
      (kFirstEventMs + ahead + ReadMs(estimate.unread)) * slow + fetch_ms;
  estimate.cost_ms =
      estimate.predicted_ms + (fetches ? kFetchMsPerK : kRereadMsPerK) *
                                  static_cast<double>(missing) / 1000;
  if (estimate.unread > kLongPrompt) {
    estimate.cost_ms += kPauseMs * state.open();
  }
  return estimate;
}

double Placement::EstimatePlain(const EndpointState& state) {
  const double slots = std::max(1, state.entry.slots);
  return kPlainMs * (1 + static_cast<double>(state.open()) / slots) *
         state.slowness;
}

const EndpointState* Placement::FindHome(
    const Request& request,
    const std::vector<const EndpointState*>& usable) {
  const EndpointState* home = nullptr;
  if (request.chain->size() < 2) {
    return home;
  }
  // The last part is the request's own; the one before it is its session's.
  const uint64_t session = (*request.chain)[request.chain->size() - 2];
  uint64_t best = 0;
  for (const EndpointState* it : usable) {
    const uint64_t weight = RendezvousWeight(session, it->hash);
    if (home == nullptr || weight > best) {
      best = weight;
      home = it;
    }
  }
  return home;
}

Placement::Estimate Placement::EstimateAt(Millis now,
                                          const Request& request,
                                          const EndpointState& state,
                                          const EndpointState* home) const {
  Estimate estimate;
  if (request.prompt != nullptr && request.service->generates) {
    estimate = EstimateEngine(now, request, state, home);
  } else {
    estimate.predicted_ms = EstimatePlain(state);
    estimate.cost_ms = estimate.predicted_ms;
  }
  estimate.cost_ms += HealthMs(now, state);
  if (state.entry.data_centre != data_centre_) {
    estimate.cost_ms += kOtherDataCentreMs;
  }
  return estimate;
}

std::optional<Placement::Choice> Placement::Choose(Millis now,
                                                   const Request& request,
                                                   double jitter) const {
  const auto usable = board_->Usable(now, request.service->name);
  const EndpointState* home =
      request.prompt != nullptr ? FindHome(request, usable) : nullptr;
  const EndpointState* chosen = nullptr;
  Estimate chosen_estimate;
  double least = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < usable.size(); ++i) {
    const EndpointState& state = *usable[i];
    if (request.tried != nullptr && request.tried->contains(state.hash)) {
      continue;
    }
    const Estimate estimate = EstimateAt(now, request, state, home);
    const double spread = jitter * static_cast<double>(i + 1);
    const double cost =
        estimate.cost_ms + kJitterMs * (spread - std::floor(spread));
    if (cost < least) {
      least = cost;
      chosen = &state;
      chosen_estimate = estimate;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  Choice choice;
  choice.id = chosen->entry.id;
  choice.born = chosen->entry.born;
  choice.hash = chosen->hash;
  choice.address = chosen->entry.address;
  choice.predicted = Millis(static_cast<int64_t>(chosen_estimate.predicted_ms));
  choice.prompt_tokens = chosen_estimate.unread;
  if (chosen_estimate.fetch_from != nullptr) {
    choice.fetch_from = chosen_estimate.fetch_from->entry.address;
  }
  return choice;
}

}  // namespace tamaracktrail
