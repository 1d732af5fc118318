#include "coordination/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include <glog/logging.h>

namespace tamaracktrail {

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
  const bool foreign = heartbeat.data_centre != data_centre_ ||
                       from.incarnation == self_.incarnation;
  if (foreign || exited_.contains(from.incarnation)) {
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
  if (heartbeat.echo_of == self_.incarnation) {
    peer.echoed_at = heartbeat.echo;
  }
  return true;
}

void Membership::OnExit(uint64_t incarnation) {
  exited_.try_emplace(incarnation, Millis());
  for (auto& [address, peer] : peers_) {
    if (peer.incarnation == incarnation) {
      peer = Peer{.address = address, .listed = peer.listed};
    }
  }
}

std::vector<std::string> Membership::Due(Millis now) {
  const auto n = static_cast<int64_t>(peers_.size());
  const Millis period = std::max(options_.period, options_.period_per_peer * n);
  std::vector<std::string> due;
  for (const auto& [address, peer] : peers_) {
    if (!peer.listed && !Live(now, peer)) {
      continue;
    }
    Millis& at = due_[address];
    if (now >= at) {
      at = now + period;
      due.push_back(address);
    }
  }
  return due;
}

Heartbeat Membership::MakeHeartbeat(Millis now,
                                    const std::string& address,
                                    uint64_t config_version,
                                    bool draining) {
  Heartbeat out;
  out.from = self_;
  out.data_centre = data_centre_;
  out.sequence = ++sequence_;
  out.config_version = config_version;
  out.draining = draining;
  out.sent_at = now;
  const Peer* peer = ByAddress(address);
  if (peer != nullptr && peer->heard_at.has_value()) {
    out.echo = peer->peer_sent_at;
    out.echo_of = peer->incarnation;
  }
  return out;
}

bool Membership::Live(Millis now, const Peer& peer) const {
  const Millis oldest = now - options_.suspect_after;
  return peer.incarnation != 0 && peer.heard_at.has_value() &&
         *peer.heard_at > oldest && peer.echoed_at.has_value() &&
         *peer.echoed_at > oldest;
}

std::vector<uint64_t> Membership::LivePeers(Millis now) const {
  std::vector<uint64_t> live;
  for (const auto& [address, peer] : peers_) {
    if (Live(now, peer) && !peer.draining) {
      live.push_back(peer.incarnation);
    }
  }
  return live;
}

size_t Membership::HeardPeers(Millis now) const {
  return static_cast<size_t>(
      std::count_if(peers_.begin(), peers_.end(),
                    [&](const auto& it) { return Live(now, it.second); }));
}

std::vector<uint64_t> Membership::Candidates(Millis now, bool draining) const {
  std::vector<uint64_t> out = LivePeers(now);
  if (!draining) {
    out.push_back(self_.incarnation);
  }
  return out;
}

std::vector<uint64_t> Membership::Suspected(Millis now) const {
  std::vector<uint64_t> out;
  for (const auto& [address, peer] : peers_) {
    if (peer.incarnation != 0 && !Live(now, peer)) {
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
