#include "coordination/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include <glog/logging.h>

#include "state/digest.h"

namespace tamaracktrail {

namespace {

//! Clocks are assumed to drift apart by at most 1/2000, or 500 ppm.
constexpr int64_t kDriftDivisor = 2000;
constexpr int64_t kClockResolutionMs = 1;  //!< Part of the drift allowance.

}  // namespace

Membership::Membership(InstanceId self,
                       std::string data_centre,
                       Options options)
    : self_(std::move(self)),
      data_centre_(std::move(data_centre)),
      options_(options) {
  CHECK_NE(self_.incarnation, 0u);
}

void Membership::SetSeeds(const std::vector<std::string>& addresses) {
  const std::set<std::string> listed(addresses.begin(), addresses.end());
  for (auto& [address, peer] : peers_) {
    peer.listed = listed.contains(address);
  }
  for (const std::string& it : listed) {
    if (it != self_.address) {
      peers_.try_emplace(it, Peer{.address = it});
    }
  }
}

bool Membership::OnHeartbeat(Millis now,
                             const Heartbeat& heartbeat,
                             std::optional<uint64_t>& replaced) {
  const InstanceId& from = heartbeat.from;
  const bool not_a_peer = heartbeat.data_centre != data_centre_ ||
                          from.incarnation == self_.incarnation;
  if (not_a_peer || exited_.contains(from.incarnation)) {
    return false;
  }
  Peer& peer = peers_[from.address];
  if (peer.incarnation != from.incarnation) {
    if (peer.incarnation != 0) {
      replaced = peer.incarnation;
      OnExit(peer.incarnation);
    }
    peer = Peer{.address = from.address, .incarnation = from.incarnation};
  }
  if (heartbeat.sequence <= peer.sequence) {
    return false;
  }
  peer.sequence = heartbeat.sequence;
  peer.data_centre = heartbeat.data_centre;
  peer.heard_at = now;
  peer.peer_sent_at = heartbeat.sent_at;
  peer.config_version = heartbeat.config_version;
  peer.draining = heartbeat.draining;
  if (heartbeat.echoed_incarnation == self_.incarnation) {
    peer.echoed_at = heartbeat.echoed_sent_at;
    UpdateClockOffset(now, heartbeat, peer);
  } else {
    // The peer has not received a heartbeat of this incarnation yet.
    next_heartbeat_at_[from.address] = now;
  }
  return true;
}

void Membership::UpdateClockOffset(Millis now,
                                   const Heartbeat& heartbeat,
                                   Peer& peer) {
  // The peer sent this heartbeat after it received the one that this instance
  // sent at `echoed_sent_at`, which gives the bound. An older bound is reduced
  // by the possible drift between the two clocks since then.
  const Millis bound = heartbeat.echoed_sent_at - heartbeat.sent_at;
  if (peer.min_clock_offset.has_value()) {
    const int64_t age = (now - peer.offset_updated_at).count();
    const Millis old = *peer.min_clock_offset -
                       Millis(age / kDriftDivisor + kClockResolutionMs);
    peer.min_clock_offset = std::max(old, bound);
  } else {
    peer.min_clock_offset = bound;
  }
  peer.offset_updated_at = now;
}

std::optional<Millis> Membership::EarliestLocalTime(const Peer& peer,
                                                    Millis time) {
  if (!peer.min_clock_offset.has_value()) {
    return std::nullopt;
  }
  return time + *peer.min_clock_offset;
}

Millis Membership::HeartbeatPeriod() const {
  const auto n = static_cast<int64_t>(peers_.size());
  return std::max(options_.heartbeat_period, options_.min_period_per_peer * n);
}

void Membership::OnExit(uint64_t incarnation) {
  exited_.try_emplace(incarnation, Millis());
  for (auto& [address, peer] : peers_) {
    if (peer.incarnation == incarnation) {
      peer = Peer{.address = address, .listed = peer.listed};
    }
  }
}

std::vector<std::string> Membership::TakeDueAddresses(Millis now) {
  const Millis period = HeartbeatPeriod();
  std::vector<std::string> due;
  for (const auto& [address, peer] : peers_) {
    if (!peer.listed && !IsLive(now, peer)) {
      continue;
    }
    Millis& at = next_heartbeat_at_[address];
    if (now >= at) {
      // Jitter keeps the heartbeats of two peers from staying in a fixed phase,
      // so that the bound on their clock offset becomes tight.
      const auto jitter =
          static_cast<int64_t>(StableHash(address, sequence_) %
                               static_cast<uint64_t>(period.count()));
      at = now + Millis(period.count() * 3 / 4 + jitter / 2);
      due.push_back(address);
    }
  }
  return due;
}

Heartbeat Membership::MakeHeartbeat(Millis now,
                                    const std::string& address,
                                    uint64_t config_version,
                                    bool excluded_from_roles) {
  Heartbeat out;
  out.from = self_;
  out.data_centre = data_centre_;
  out.sequence = ++sequence_;
  out.config_version = config_version;
  out.draining = excluded_from_roles;
  out.sent_at = now;
  const Peer* peer = ByAddress(address);
  if (peer != nullptr && peer->heard_at.has_value()) {
    out.echoed_sent_at = peer->peer_sent_at;
    out.echoed_incarnation = peer->incarnation;
  }
  return out;
}

bool Membership::IsLive(Millis now, const Peer& peer) const {
  const Millis timeout = std::max(
      options_.suspect_after, HeartbeatPeriod() * options_.min_suspect_periods);
  const Millis oldest = now - timeout;
  return peer.incarnation != 0 && peer.heard_at.has_value() &&
         *peer.heard_at > oldest && peer.echoed_at.has_value() &&
         *peer.echoed_at > oldest;
}

std::vector<uint64_t> Membership::LivePeers(Millis now) const {
  std::vector<uint64_t> live;
  for (const auto& [address, peer] : peers_) {
    if (IsLive(now, peer) && !peer.draining) {
      live.push_back(peer.incarnation);
    }
  }
  return live;
}

size_t Membership::CountLivePeers(Millis now) const {
  return static_cast<size_t>(
      std::count_if(peers_.begin(), peers_.end(),
                    [&](const auto& it) { return IsLive(now, it.second); }));
}

std::vector<uint64_t> Membership::Candidates(Millis now,
                                             bool excluded_from_roles) const {
  std::vector<uint64_t> out = LivePeers(now);
  if (!excluded_from_roles) {
    out.push_back(self_.incarnation);
  }
  return out;
}

std::vector<uint64_t> Membership::Suspected(Millis now) const {
  std::vector<uint64_t> out;
  for (const auto& [address, peer] : peers_) {
    if (peer.incarnation != 0 && !IsLive(now, peer)) {
      out.push_back(peer.incarnation);
    }
  }
  return out;
}

const Membership::Peer* Membership::ByIncarnation(uint64_t incarnation) const {
  for (const auto& [address, peer] : peers_) {
    if (peer.incarnation == incarnation) {
      return &peer;
    }
  }
  return nullptr;
}

const Membership::Peer* Membership::ByAddress(
    const std::string& address) const {
  auto it = peers_.find(address);
  return it == peers_.end() ? nullptr : &it->second;
}

}  // namespace tamaracktrail
