#include "coordination/charge_custody.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace tamaracktrail {

namespace {

bool Contains(std::span<const uint64_t> peers, uint64_t peer) {
  return std::find(peers.begin(), peers.end(), peer) != peers.end();
}

}  // namespace

ChargeCustody::ChargeCustody(uint64_t self, Options options)
    : self_(self), options_(options) {}

void ChargeCustody::Settle(Millis now,
                           const SettleRequest& request,
                           std::span<const uint64_t> peers,
                           Outbox& outbox) {
  CHECK_EQ(request.charge.entry, self_);
  HeldCharge held{
      request, now, now, /*own=*/true, /*safe=*/false, /*appended=*/false, {}};
  const uint64_t holder = request.charge.holder;
  if (peers.empty()) {
    // Makes the broadcast due at the next tick.
    held.sent_at = now - options_.broadcast_interval;
  } else {
    const bool to_holder = holder != self_ && Contains(peers, holder);
    const uint64_t to = to_holder ? holder : peers.front();
    held.sent_to.insert(to);
    outbox.Send(to, request);
  }
  held_[request.charge.attempt] = std::move(held);
}

void ChargeCustody::Hold(Millis now,
                         const SettleRequest& request,
                         Outbox& outbox) {
  held_.try_emplace(request.charge.attempt, HeldCharge{request,
                                                       now,
                                                       now,
                                                       /*own=*/false,
                                                       /*safe=*/true,
                                                       /*appended=*/false,
                                                       {}});
  if (request.charge.holder != self_) {
    outbox.Send(request.charge.entry, SettleReply{request.charge.attempt});
  }
}

void ChargeCustody::Withdraw(const Charge& charge,
                             std::span<const uint64_t> peers,
                             Outbox& outbox) {
  CHECK_EQ(charge.entry, self_);
  AppendVoid(charge, peers, outbox);
  held_.erase(charge.attempt);
}

void ChargeCustody::AppendVoid(const Charge& charge,
                               std::span<const uint64_t> peers,
                               Outbox& outbox) {
  const Void record{charge.organisation, charge.key, charge.attempt};
  outbox.Append(record);
  for (const uint64_t peer : peers) {
    outbox.Send(peer, RecordsToAppend{charge.organisation, {record}});
  }
}

void ChargeCustody::OnHeldElsewhere(uint64_t attempt) {
  auto it = held_.find(attempt);
  if (it != held_.end()) {
    MarkSafe(attempt, it->second);
  }
}

void ChargeCustody::OnConfirmed(uint64_t attempt, Outbox& outbox) {
  auto it = held_.find(attempt);
  if (it == held_.end()) {
    return;
  }
  MarkSafe(attempt, it->second);
  for (const uint64_t peer : it->second.sent_to) {
    if (peer != it->second.request.charge.holder) {
      outbox.Send(peer, ChargeConfirmed{attempt});
    }
  }
  held_.erase(it);
}

void ChargeCustody::MarkSafe(uint64_t attempt, HeldCharge& held) {
  if (held.own && !held.safe) {
    settled_.push_back({attempt, Safety::kSafe});
  }
  held.safe = true;
}

void ChargeCustody::OnTick(Millis now,
                           std::span<const uint64_t> peers,
                           Outbox& outbox) {
  for (auto it = held_.begin(); it != held_.end();) {
    HeldCharge& held = it->second;
    const Charge& charge = held.request.charge;
    if (held.own && !held.safe &&
        now >= held.held_since + options_.safety_timeout) {
      AppendVoid(charge, peers, outbox);
      settled_.push_back({it->first, Safety::kNotSafe});
      it = held_.erase(it);
      continue;
    }
    if (!held.safe && now >= held.sent_at + options_.broadcast_interval) {
      held.sent_at = now;
      for (const uint64_t peer : peers) {
        held.sent_to.insert(peer);
        outbox.Send(peer, held.request);
      }
      Append(held, outbox);
    }
    if (now >= held.held_since + options_.replicate_after) {
      Replicate(held, peers, outbox);
    }
    const bool reachable =
        Contains(peers, charge.holder) || Contains(peers, charge.entry);
    const Millis append_delay = reachable ? options_.append_after_reachable
                                          : options_.append_after_unreachable;
    if (now >= held.held_since + append_delay) {
      Append(held, outbox);
    }
    ++it;
  }
}

void ChargeCustody::Replicate(HeldCharge& held,
                              std::span<const uint64_t> peers,
                              Outbox& outbox) {
  for (const uint64_t peer : peers) {
    const auto live =
        std::count_if(held.sent_to.begin(), held.sent_to.end(),
                      [&](uint64_t it) { return Contains(peers, it); });
    if (static_cast<size_t>(live) >= options_.target_copies) {
      return;
    }
    if (held.sent_to.insert(peer).second) {
      outbox.Send(peer, held.request);
    }
  }
}

void ChargeCustody::Append(HeldCharge& held, Outbox& outbox) {
  const Charge& charge = held.request.charge;
  // The keeper appends charges under this instance's own share.
  if (held.appended || charge.holder == self_) {
    return;
  }
  held.appended = true;
  outbox.Append(charge);
}

std::vector<ChargeCustody::SettleResult> ChargeCustody::TakeSettleResults() {
  return std::exchange(settled_, {});
}

std::vector<KeptShare> ChargeCustody::UnconfirmedUnderShareOf(
    uint64_t holder) const {
  std::vector<KeptShare> kept;
  for (const auto& [attempt, held] : held_) {
    const Charge& charge = held.request.charge;
    if (charge.holder == holder) {
      kept.push_back({charge.organisation, attempt,
                      held.own ? held.request.reserved : charge.tokens});
    }
  }
  return kept;
}

std::vector<SettleRequest> ChargeCustody::ChargesOfEntry(uint64_t entry) const {
  std::vector<SettleRequest> charges;
  for (const auto& [attempt, held] : held_) {
    if (held.request.charge.entry == entry) {
      charges.push_back(held.request);
    }
  }
  return charges;
}

}  // namespace tamaracktrail
