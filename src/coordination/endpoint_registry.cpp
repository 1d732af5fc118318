#include "coordination/endpoint_registry.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "state/digest.h"

namespace tamaracktrail {

namespace {

//! How long an endpoint may receive requests after it disappeared from the
//! directory, without announcing it, while the store was in doubt. The platform
//! lists live endpoints again within 2 s, and a removed one must receive
//! nothing later than 2 s after its removal.
constexpr Millis kMissingGrace{1400};

//! Weight of one outcome in the smoothed failure rate.
constexpr double kFailureWeight = 0.15;

//! The smoothed failure rate falls to 1/e in this time without requests.
constexpr double kFailureDecayMs = 3000;

//! Consecutive losses that suspend an endpoint; one that is unreachable, or
//! whose address another endpoint has, is suspended at once. A suspension lasts
//! twice the base time after one loss, and doubles with each further
//! consecutive loss up to the maximum.
constexpr int kLossesToSuspend = 2;
constexpr Millis kBaseSuspension{400};
constexpr Millis kMaxSuspension{1600};

//! Weight of one measurement in the smoothed latency ratio, and its bounds.
constexpr double kLatencyRatioWeight = 0.1;
constexpr double kMinLatencyRatio = 0.5;
constexpr double kMaxLatencyRatio = 20;

//! A peer's report expires after this time if no newer one arrives. Peers
//! repeat an unchanged report after 250 ms.
constexpr Millis kPeerLoadLifetime{600};

//! A missing endpoint is removed after this time; it has no load by then.
constexpr Millis kMissingRetention{30000};

//! Delay that callers are told if this instance may send nothing to any
//! endpoint of a service: another instance may.
constexpr Millis kNoRoomDelay{1000};

//! Limit of removed incarnations that are remembered.
constexpr size_t kMaxRemoved = 4096;

}  // namespace

double DecayedFailureRate(Millis now, const EndpointState& state) {
  const auto age = static_cast<double>((now - state.failure_rate_at).count());
  return state.failure_rate * std::exp(-age / kFailureDecayMs);
}

bool EndpointRegistry::Apply(Millis now, const EndpointEntry& entry) {
  const auto removed = removed_.find(entry.id);
  if (removed != removed_.end() &&
      std::pair(entry.start_unix_ms, entry.sequence) <= removed->second) {
    return false;
  }
  const auto it = endpoints_.find(entry.id);
  if (it != endpoints_.end()) {
    EndpointState& known = it->second;
    if (std::pair(entry.start_unix_ms, entry.sequence) <
        std::pair(known.entry.start_unix_ms, known.entry.sequence)) {
      return false;
    }
    if (entry.start_unix_ms == known.entry.start_unix_ms) {
      // A draining endpoint does not become usable again as the same
      // incarnation.
      const bool draining = known.entry.draining || entry.draining;
      // An entry that is read again is older, and so is its cold time.
      if (entry.sequence > known.entry.sequence) {
        notices_.cold().OnEntry(now, known.incarnation_hash, entry.service,
                                entry.cold_remaining);
      }
      known.entry = entry;
      known.entry.draining = draining;
      known.missing_since = {};
      return true;
    }
    Erase(entry.id);
  }
  EndpointState fresh;
  fresh.entry = entry;
  fresh.incarnation_hash =
      StableHash(absl::StrCat(entry.id, "/", entry.start_unix_ms));
  fresh.known_since = now;
  by_hash_[fresh.incarnation_hash] = entry.id;
  notices_.cold().OnEntry(now, fresh.incarnation_hash, entry.service,
                          entry.cold_remaining);
  endpoints_.emplace(entry.id, std::move(fresh));
  return true;
}

bool EndpointRegistry::ApplyFromPeer(Millis now, const EndpointEntry& entry) {
  const EndpointState* known = Find(entry.id, entry.start_unix_ms);
  const auto removed = removed_.find(entry.id);
  const bool missing = (known != nullptr && known->missing_since > Millis(0)) ||
                       (removed != removed_.end() &&
                        entry.start_unix_ms <= removed->second.first);
  if (missing) {
    return false;
  }
  return Apply(now, entry);
}

void EndpointRegistry::Remove(Millis now,
                              const std::string& id,
                              bool store_in_doubt) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) {
    return;
  }
  EndpointState& state = it->second;
  if (store_in_doubt && !state.entry.draining) {
    if (state.missing_since == Millis(0)) {
      state.missing_since = now;
    }
    return;
  }
  if (removed_.size() >= kMaxRemoved) {
    removed_.erase(removed_.begin());
  }
  // The directory is read in the order of writing: an entry with a higher
  // sequence that is read after the removal means that the endpoint is listed
  // again.
  removed_[id] = {state.entry.start_unix_ms, state.entry.sequence};
  Erase(id);
}

void EndpointRegistry::KeepOnly(Millis now,
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

void EndpointRegistry::Erase(const std::string& id) {
  const auto it = endpoints_.find(id);
  by_hash_.erase(it->second.incarnation_hash);
  notices_.Forget(it->second.incarnation_hash);
  endpoints_.erase(it);
}

std::vector<const EndpointState*> EndpointRegistry::Usable(
    Millis now,
    const std::string& service,
    const AllowedRegions& allowed) const {
  std::vector<const EndpointState*> usable;
  std::vector<const EndpointState*> suspended;
  for (const auto& [id, state] : endpoints_) {
    if (state.entry.service != service ||
        !MayReceive(now, id, state.entry.start_unix_ms) ||
        !IsAllowed(allowed, state) ||
        !notices_.MaySend(now, state.incarnation_hash)) {
      continue;
    }
    (now < state.suspended_until ? suspended : usable).push_back(&state);
  }
  return usable.empty() ? suspended : usable;
}

bool EndpointRegistry::HasAny(Millis now,
                              const std::string& service,
                              const AllowedRegions& allowed) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& it) {
    const EndpointState& state = it.second;
    return state.entry.service == service &&
           MayReceive(now, it.first, state.entry.start_unix_ms) &&
           IsAllowed(allowed, state);
  });
}

bool EndpointRegistry::IsAllowed(const AllowedRegions& allowed,
                                 const EndpointState& state) const {
  if (allowed.allows_all()) {
    return true;
  }
  const auto region = regions_.find(state.entry.data_centre);
  return allowed.Allows(region == regions_.end() ? "" : region->second);
}

EndpointLimits::Change EndpointRegistry::OnReportedLimit(
    Millis now,
    const ReportedLimit& reported) {
  return by_hash_.contains(reported.endpoint)
             ? notices_.limits().OnReport(now, reported)
             : EndpointLimits::Change::kNone;
}

bool EndpointRegistry::OnReportedLeaving(Millis now, uint64_t endpoint) {
  return by_hash_.contains(endpoint) &&
         notices_.leaving().OnReport(now, endpoint);
}

size_t EndpointRegistry::CountLeaving() const {
  return static_cast<size_t>(std::count_if(
      by_hash_.begin(), by_hash_.end(),
      [&](const auto& it) { return notices_.leaving().Contains(it.first); }));
}

EndpointRegistry::Room EndpointRegistry::RoomOf(
    Millis now,
    const std::string& service,
    const AllowedRegions& allowed) const {
  Room room;
  std::optional<Millis> next;
  for (const auto& [id, state] : endpoints_) {
    if (state.entry.service != service ||
        !MayReceive(now, id, state.entry.start_unix_ms) ||
        !IsAllowed(allowed, state)) {
      continue;
    }
    if (!notices_.IsRestricted(now, state.incarnation_hash)) {
      return {};
    }
    room.all_restricted = true;
    room.per_second += notices_.RatePerSecond(now, state.incarnation_hash);
    const auto own_next = notices_.TimeToNext(now, state.incarnation_hash);
    if (own_next && (!next || *own_next < *next)) {
      next = own_next;
    }
  }
  room.next = next.value_or(kNoRoomDelay);
  return room;
}

const EndpointState* EndpointRegistry::Find(const std::string& id,
                                            int64_t start_unix_ms) const {
  const auto it = endpoints_.find(id);
  return it != endpoints_.end() &&
                 it->second.entry.start_unix_ms == start_unix_ms
             ? &it->second
             : nullptr;
}

const EndpointState* EndpointRegistry::FindByHash(uint64_t hash) const {
  const auto it = by_hash_.find(hash);
  return it == by_hash_.end() ? nullptr : &endpoints_.at(it->second);
}

EndpointState* EndpointRegistry::FindMutable(const std::string& id,
                                             int64_t start_unix_ms) {
  const auto it = endpoints_.find(id);
  return it != endpoints_.end() &&
                 it->second.entry.start_unix_ms == start_unix_ms
             ? &it->second
             : nullptr;
}

bool EndpointRegistry::MayReceive(Millis now,
                                  const std::string& id,
                                  int64_t start_unix_ms) const {
  const EndpointState* state = Find(id, start_unix_ms);
  return state != nullptr && !state->entry.draining &&
         !notices_.leaving().Contains(state->incarnation_hash) &&
         !evacuated_.Contains(state->entry.data_centre) &&
         (state->missing_since == Millis(0) ||
          now - state->missing_since < kMissingGrace);
}

EndpointTicket EndpointRegistry::OnSent(Millis now,
                                        const EndpointState& chosen,
                                        int64_t uncached_tokens,
                                        Millis predicted) {
  notices_.OnSent(now, chosen.incarnation_hash);
  EndpointTicket ticket;
  ticket.id = chosen.entry.id;
  ticket.start_unix_ms = chosen.entry.start_unix_ms;
  ticket.incarnation_hash = chosen.incarnation_hash;
  ticket.uncached_tokens = uncached_tokens;
  ticket.sent_at = now;
  ticket.predicted = predicted;
  if (EndpointState* state = FindMutable(ticket.id, ticket.start_unix_ms)) {
    state->own_load.uncached_tokens += uncached_tokens;
    ++state->own_load.open;
    state->first_bytes_due_ms.insert((now + predicted).count());
  }
  return ticket;
}

void EndpointRegistry::OnFirstByte(Millis now, EndpointTicket* ticket) {
  if (ticket->answered) {
    return;
  }
  const int64_t uncached_tokens = std::exchange(ticket->uncached_tokens, 0);
  ticket->answered = true;
  EndpointState* state = FindMutable(ticket->id, ticket->start_unix_ms);
  if (state == nullptr) {
    return;
  }
  state->own_load.uncached_tokens -= uncached_tokens;
  RemoveFirstByteDue(*ticket, state);
  const auto waited = static_cast<double>(
      std::max<int64_t>(1, (now - ticket->sent_at).count()));
  const auto predicted =
      static_cast<double>(std::max<int64_t>(1, ticket->predicted.count()));
  const double ratio =
      std::min(waited * state->latency_ratio / predicted, kMaxLatencyRatio);
  state->latency_ratio =
      std::clamp(state->latency_ratio +
                     kLatencyRatioWeight * (ratio - state->latency_ratio),
                 kMinLatencyRatio, kMaxLatencyRatio);
}

void EndpointRegistry::OnEnded(Millis now,
                               EndpointTicket* ticket,
                               EndpointOutcome outcome) {
  OnAbandoned(ticket);
  EndpointState* state = FindMutable(ticket->id, ticket->start_unix_ms);
  if (state == nullptr) {
    return;
  }
  const bool lost = outcome == EndpointOutcome::kLost ||
                    outcome == EndpointOutcome::kUnreachable ||
                    outcome == EndpointOutcome::kMisdirected;
  const bool bad = lost || outcome == EndpointOutcome::kFailed;
  state->failure_rate = DecayedFailureRate(now, *state) * (1 - kFailureWeight) +
                        (bad ? kFailureWeight : 0);
  state->failure_rate_at = now;
  state->consecutive_losses = lost ? state->consecutive_losses + 1 : 0;
  const bool suspend = outcome == EndpointOutcome::kMisdirected ||
                       outcome == EndpointOutcome::kUnreachable ||
                       (lost && state->consecutive_losses >= kLossesToSuspend);
  if (suspend) {
    // kMaxSuspension is reached before the limit, which bounds the shift.
    const int doublings = std::min(3, state->consecutive_losses);
    state->suspended_until =
        now +
        std::min(kBaseSuspension * (int64_t{1} << doublings), kMaxSuspension);
  } else if (outcome == EndpointOutcome::kAnswered) {
    state->suspended_until = {};
  }
}

void EndpointRegistry::OnAbandoned(EndpointTicket* ticket) {
  EndpointState* state = FindMutable(ticket->id, ticket->start_unix_ms);
  if (state == nullptr) {
    return;
  }
  state->own_load.uncached_tokens -= std::exchange(ticket->uncached_tokens, 0);
  --state->own_load.open;
  if (!ticket->answered) {
    RemoveFirstByteDue(*ticket, state);
  }
}

void EndpointRegistry::RemoveFirstByteDue(const EndpointTicket& ticket,
                                          EndpointState* state) {
  const auto it = state->first_bytes_due_ms.find(
      (ticket.sent_at + ticket.predicted).count());
  if (it != state->first_bytes_due_ms.end()) {
    state->first_bytes_due_ms.erase(it);
  }
}

EndpointRegistry::LoadReport EndpointRegistry::OwnLoad() const {
  LoadReport report;
  for (const auto& [id, state] : endpoints_) {
    if (state.own_load != EndpointLoad{}) {
      report.emplace_back(state.incarnation_hash, state.own_load);
    }
  }
  return report;
}

void EndpointRegistry::AddPeerLoad(const LoadReport& report, int sign) {
  for (const auto& [hash, load] : report) {
    const auto it = by_hash_.find(hash);
    if (it == by_hash_.end()) {
      continue;
    }
    EndpointLoad& sum = endpoints_.at(it->second).peer_load;
    sum.uncached_tokens += sign * load.uncached_tokens;
    sum.open += sign * load.open;
  }
}

void EndpointRegistry::SetPeerLoad(Millis now,
                                   uint64_t peer,
                                   LoadReport report) {
  PeerLoad& known = peers_[peer];
  AddPeerLoad(known.report, -1);
  // An endpoint may become known or be replaced between two reports, so only
  // the load that is added now is stored, to be subtracted at the next report.
  std::erase_if(report,
                [&](const auto& it) { return !by_hash_.contains(it.first); });
  AddPeerLoad(report, 1);
  known = {now, std::move(report)};
}

void EndpointRegistry::OnTick(Millis now) {
  notices_.OnTick(now);
  evacuated_.OnTick(now);
  std::vector<std::string> expired;
  for (const auto& [id, state] : endpoints_) {
    if (state.missing_since > Millis(0) &&
        now - state.missing_since > kMissingRetention) {
      expired.push_back(id);
    }
  }
  for (const std::string& it : expired) {
    Remove(now, it, false);
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.reported_at > kPeerLoadLifetime) {
      AddPeerLoad(it->second.report, -1);
      it = peers_.erase(it);
    } else {
      ++it;
    }
  }
}

int64_t EndpointRegistry::CountIn(const std::string& data_centre) const {
  return std::count_if(endpoints_.begin(), endpoints_.end(),
                       [&](const auto& it) {
                         return it.second.entry.data_centre == data_centre;
                       });
}

int64_t EndpointRegistry::open() const {
  int64_t n = 0;
  for (const auto& [id, state] : endpoints_) {
    n += state.own_load.open;
  }
  return n;
}

}  // namespace tamaracktrail
