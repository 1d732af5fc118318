#include "coordination/endpoint_board.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "state/digest.h"

namespace tamaracktrail {

namespace {

//! How long an endpoint that vanished without a word while the store was in
//! doubt is used: the platform brings live ones back within about 2 s, and a
//! left one must get nothing later than 2 s after it left.
constexpr Millis kLapseGrace{1400};

//! Weight of one outcome in the smoothed failures.
constexpr double kFailureWeight = 0.15;

//! Smoothed failures fall to a third in this time without requests.
constexpr double kFailureFadeMs = 3000;

//! Connections lost or refused in a row that suspend an endpoint, and for how
//! long the first and any further time.
constexpr int kLostToSuspend = 2;
constexpr Millis kFirstSuspension{400};
constexpr Millis kLongestSuspension{1600};

//! Weight of one measurement in the smoothed slowness, and its bounds.
constexpr double kSlownessWeight = 0.1;
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 20;

//! A peer's report counts for this long; reports come several times a second.
constexpr Millis kPeerLoadLasts{600};

//! A lapsed endpoint is forgotten after this; its load is none by then.
constexpr Millis kForgetLapsed{30000};

//! Left incarnations that are remembered at most.
constexpr size_t kMaxLeft = 4096;

}  // namespace

double FailuresNow(Millis now, const EndpointState& state) {
  const auto age = static_cast<double>((now - state.failures_at).count());
  return state.failures * std::exp(-age / kFailureFadeMs);
}

void EndpointBoard::Apply(Millis now, const EndpointEntry& entry) {
  const auto left = left_.find(entry.id);
  if (left != left_.end() &&
      std::pair(entry.born, entry.sequence) <= left->second) {
    return;
  }
  const auto it = endpoints_.find(entry.id);
  if (it != endpoints_.end()) {
    EndpointState& known = it->second;
    if (std::pair(entry.born, entry.sequence) <
        std::pair(known.entry.born, known.entry.sequence)) {
      return;
    }
    if (entry.born == known.entry.born) {
      // A leaving endpoint does not come back under the same incarnation.
      const bool draining = known.entry.draining || entry.draining;
      known.entry = entry;
      known.entry.draining = draining;
      known.lapsed_at = {};
      return;
    }
    Erase(entry.id);
  }
  EndpointState fresh;
  fresh.entry = entry;
  fresh.hash = StableHash(absl::StrCat(entry.id, "/", entry.born));
  fresh.known_since = now;
  by_hash_[fresh.hash] = entry.id;
  endpoints_.emplace(entry.id, std::move(fresh));
}

bool EndpointBoard::ApplyCopy(Millis now, const EndpointEntry& entry) {
  const EndpointState* known = Find(entry.id, entry.born);
  const auto left = left_.find(entry.id);
  const bool missing =
      (known != nullptr && known->lapsed_at > Millis(0)) ||
      (left != left_.end() && entry.born <= left->second.first);
  if (missing) {
    return false;
  }
  Apply(now, entry);
  return true;
}

void EndpointBoard::Remove(Millis now,
                           const std::string& id,
                           bool store_in_doubt) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) {
    return;
  }
  EndpointState& state = it->second;
  if (store_in_doubt && !state.entry.draining) {
    if (state.lapsed_at == Millis(0)) {
      state.lapsed_at = now;
    }
    return;
  }
  if (left_.size() >= kMaxLeft) {
    left_.erase(left_.begin());
  }
  // Entries that were written before the removal were read before it, so an
  // entry that comes later tells that the endpoint is back.
  left_[id] = {state.entry.born, state.entry.sequence};
  Erase(id);
}

void EndpointBoard::KeepOnly(Millis now,
                             const std::vector<std::string>& ids,
                             bool store_in_doubt) {
  const std::set<std::string> kept(ids.begin(), ids.end());
  std::vector<std::string> missing;
  for (const auto& [id, state] : endpoints_) {
    if (!kept.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& it : missing) {
    Remove(now, it, store_in_doubt);
  }
}

void EndpointBoard::Erase(const std::string& id) {
  const auto it = endpoints_.find(id);
  by_hash_.erase(it->second.hash);
  endpoints_.erase(it);
}

std::vector<const EndpointState*> EndpointBoard::Usable(
    Millis now,
    const std::string& service) const {
  std::vector<const EndpointState*> usable;
  std::vector<const EndpointState*> suspended;
  for (const auto& [id, state] : endpoints_) {
    if (state.entry.service != service ||
        !MayReceive(now, id, state.entry.born)) {
      continue;
    }
    (now < state.suspended_until ? suspended : usable).push_back(&state);
  }
  return usable.empty() ? suspended : usable;
}

const EndpointState* EndpointBoard::Find(const std::string& id,
                                         int64_t born) const {
  const auto it = endpoints_.find(id);
  return it != endpoints_.end() && it->second.entry.born == born ? &it->second
                                                                 : nullptr;
}

const EndpointState* EndpointBoard::FindByHash(uint64_t hash) const {
  const auto it = by_hash_.find(hash);
  return it == by_hash_.end() ? nullptr : &endpoints_.at(it->second);
}

EndpointState* EndpointBoard::Lookup(const std::string& id, int64_t born) {
  const auto it = endpoints_.find(id);
  return it != endpoints_.end() && it->second.entry.born == born ? &it->second
                                                                 : nullptr;
}

bool EndpointBoard::MayReceive(Millis now,
                               const std::string& id,
                               int64_t born) const {
  const EndpointState* state = Find(id, born);
  return state != nullptr && !state->entry.draining &&
         (state->lapsed_at == Millis(0) ||
          now - state->lapsed_at < kLapseGrace);
}

EndpointTicket EndpointBoard::OnSent(Millis now,
                                     const EndpointState& chosen,
                                     int64_t prompt_tokens,
                                     Millis predicted) {
  EndpointTicket ticket;
  ticket.id = chosen.entry.id;
  ticket.born = chosen.entry.born;
  ticket.hash = chosen.hash;
  ticket.prompt_tokens = prompt_tokens;
  ticket.sent_at = now;
  ticket.predicted = predicted;
  if (EndpointState* state = Lookup(ticket.id, ticket.born)) {
    state->own.prompt_tokens += prompt_tokens;
    ++state->own.open;
    state->due.insert((now + predicted).count());
  }
  return ticket;
}

void EndpointBoard::OnFirstByte(Millis now, EndpointTicket* ticket) {
  if (ticket->answered) {
    return;
  }
  const int64_t prompt_tokens = std::exchange(ticket->prompt_tokens, 0);
  ticket->answered = true;
  EndpointState* state = Lookup(ticket->id, ticket->born);
  if (state == nullptr) {
    return;
  }
  state->own.prompt_tokens -= prompt_tokens;
  RemoveDue(*ticket, state);
  const auto waited = static_cast<double>(
      std::max<int64_t>(1, (now - ticket->sent_at).count()));
  const auto predicted =
      static_cast<double>(std::max<int64_t>(1, ticket->predicted.count()));
  const double ratio =
      std::min(waited * state->slowness / predicted, kMaxSlowness);
  state->slowness =
      std::clamp(state->slowness + kSlownessWeight * (ratio - state->slowness),
                 kMinSlowness, kMaxSlowness);
}

void EndpointBoard::OnEnded(Millis now,
                            EndpointTicket* ticket,
                            EndpointOutcome outcome) {
  OnAbandoned(ticket);
  EndpointState* state = Lookup(ticket->id, ticket->born);
  if (state == nullptr) {
    return;
  }
  const bool lost = outcome == EndpointOutcome::kLost ||
                    outcome == EndpointOutcome::kUnreachable ||
                    outcome == EndpointOutcome::kGone;
  const bool bad = lost || outcome == EndpointOutcome::kFailed;
  state->failures = FailuresNow(now, *state) * (1 - kFailureWeight) +
                    (bad ? kFailureWeight : 0);
  state->failures_at = now;
  state->lost_in_row = lost ? state->lost_in_row + 1 : 0;
  const bool suspend = outcome == EndpointOutcome::kGone ||
                       outcome == EndpointOutcome::kUnreachable ||
                       (lost && state->lost_in_row >= kLostToSuspend);
  if (suspend) {
    const int doublings = std::min(3, state->lost_in_row);
    state->suspended_until =
        now + std::min(kFirstSuspension * (int64_t{1} << doublings),
                       kLongestSuspension);
  } else if (outcome == EndpointOutcome::kGood) {
    state->suspended_until = {};
  }
}

void EndpointBoard::OnAbandoned(EndpointTicket* ticket) {
  EndpointState* state = Lookup(ticket->id, ticket->born);
  if (state == nullptr) {
    return;
  }
  state->own.prompt_tokens -= std::exchange(ticket->prompt_tokens, 0);
  --state->own.open;
  if (!ticket->answered) {
    RemoveDue(*ticket, state);
  }
}

void EndpointBoard::RemoveDue(const EndpointTicket& ticket,
                              EndpointState* state) {
  const auto it = state->due.find((ticket.sent_at + ticket.predicted).count());
  if (it != state->due.end()) {
    state->due.erase(it);
  }
}

EndpointBoard::LoadReport EndpointBoard::OwnLoad() const {
  LoadReport report;
  for (const auto& [id, state] : endpoints_) {
    if (state.own != EndpointLoad{}) {
      report.emplace_back(state.hash, state.own);
    }
  }
  return report;
}

void EndpointBoard::AddPeerLoad(const LoadReport& report, int sign) {
  for (const auto& [hash, load] : report) {
    const auto it = by_hash_.find(hash);
    if (it == by_hash_.end()) {
      continue;
    }
    EndpointLoad& sum = endpoints_.at(it->second).peers;
    sum.prompt_tokens += sign * load.prompt_tokens;
    sum.open += sign * load.open;
  }
}

void EndpointBoard::SetPeerLoad(Millis now, uint64_t peer, LoadReport report) {
  PeerLoad& known = peers_[peer];
  AddPeerLoad(known.report, -1);
  // An endpoint may have become known, or be replaced, between two reports:
  // only what is counted now is taken off next time.
  std::erase_if(report,
                [&](const auto& it) { return !by_hash_.contains(it.first); });
  AddPeerLoad(report, 1);
  known = {now, std::move(report)};
}

void EndpointBoard::OnTick(Millis now) {
  std::vector<std::string> lapsed;
  for (const auto& [id, state] : endpoints_) {
    if (state.lapsed_at > Millis(0) && now - state.lapsed_at > kForgetLapsed) {
      lapsed.push_back(id);
    }
  }
  for (const std::string& it : lapsed) {
    Remove(now, it, false);
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.at > kPeerLoadLasts) {
      AddPeerLoad(it->second.report, -1);
      it = peers_.erase(it);
    } else {
      ++it;
    }
  }
}

int64_t EndpointBoard::open() const {
  int64_t n = 0;
  for (const auto& [id, state] : endpoints_) {
    n += state.own.open;
  }
  return n;
}

}  // namespace tamaracktrail
