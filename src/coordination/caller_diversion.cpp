#include "coordination/caller_diversion.h"

#include <algorithm>

namespace tamaracktrail {

namespace {

//! Above this part of the link's width, packets of all callers begin to wait in
//! the queue of the link. The bytes counted lack the headers of packets and the
//! acknowledgements, a quarter to a third of the traffic of event streams.
constexpr double kMaxUse = 0.6;

//! While a peer diverts the load of an organisation, a use of the own link by
//! that organisation above this part of the width is taken for the beginning of
//! that load: the load balancer takes up to 2 s to divert it again, and the
//! queue of the link would grow meanwhile.
constexpr double kArrivingUse = 0.45;

//! Connections beyond this part of the link's width are closed.
constexpr double kKeptUse = 0.5;

//! The load of the diverted organisation in the data centre should not come
//! back while it exceeds this part of the own width, nor for some time after
//! it, since loads vary. Well below kMaxUse, as hysteresis.
constexpr double kRemainingUse = 0.25;
constexpr Millis kRemainingTime{3000};

//! Shortest diversion. The load balancer takes up to 2 s to notice, and the
//! load then takes a second to show at a peer.
constexpr Millis kMinDiversion{5000};

//! Without reports of peers, callers are taken back after this time.
constexpr Millis kMaxDiversionWithoutNews{20000};

//! Largest part of a data centre's instances that divert callers at once. The
//! load balancer uses all instances if fewer than half are ready.
constexpr double kMaxDivertingFraction = 0.24;

//! A report expires after this time; peers repeat an unchanged one after
//! 250 ms.
constexpr Millis kReportLifetime{600};

//! Organisations with less traffic than this, bytes per second, are forgotten.
constexpr double kMinRelayedPerSecond = 1000;

constexpr double kBitsPerMbit = 1e6;

double ToMbps(double bytes_per_second) {
  return bytes_per_second * 8 / kBitsPerMbit;
}

}  // namespace

void CallerDiversion::OnTraffic(Millis now, uint64_t received, uint64_t sent) {
  for (RateMeter* it : {&received_, &received_lately_}) {
    it->Add(now, static_cast<int64_t>(received));
  }
  for (RateMeter* it : {&sent_, &sent_lately_}) {
    it->Add(now, static_cast<int64_t>(sent));
  }
}

void CallerDiversion::OnRelayed(Millis now,
                                uint64_t organisation,
                                uint64_t bytes) {
  relayed_.emplace(organisation, RateMeter(kShortTimeConstant))
      .first->second.Add(now, static_cast<int64_t>(bytes));
}

void CallerDiversion::OnReport(Millis now,
                               uint64_t peer,
                               const LinkLoad& load) {
  peers_[peer] = {now, load};
}

double CallerDiversion::UseMbps(Millis now) const {
  return ToMbps(std::max(received_.PerSecond(now), sent_.PerSecond(now)));
}

double CallerDiversion::RecentUseMbps(Millis now) const {
  return ToMbps(
      std::max(received_lately_.PerSecond(now), sent_lately_.PerSecond(now)));
}

bool CallerDiversion::IsCurrent(Millis now, const Peer& peer) const {
  return now - peer.reported_at <= kReportLifetime;
}

CallerDiversion::Part CallerDiversion::LargestPart(Millis now) const {
  Part part;
  double largest = 0;
  double sum = 0;
  for (const auto& [organisation, meter] : relayed_) {
    const double per_second = meter.PerSecond(now);
    sum += per_second;
    if (per_second > largest) {
      largest = per_second;
      part.organisation = organisation;
    }
  }
  if (sum > 0) {
    part.mbps = largest / sum * RecentUseMbps(now);
  }
  return part;
}

LinkLoad CallerDiversion::MakeReport(Millis now) const {
  const Part part = LargestPart(now);
  LinkLoad load;
  load.width_mbps = static_cast<float>(width_mbps_);
  load.use_mbps = static_cast<float>(UseMbps(now));
  load.organisation = active_ ? cause_ : part.organisation;
  load.organisation_mbps = active_ && part.organisation != cause_
                               ? 0
                               : static_cast<float>(part.mbps);
  load.diverting_ms =
      active_ ? static_cast<int32_t>((now - active_since_).count()) : -1;
  return load;
}

size_t CallerDiversion::CountDiverting(Millis now) const {
  return static_cast<size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& it) {
        return IsCurrent(now, it.second) && it.second.load.diverts();
      }));
}

bool CallerDiversion::IsOverloaded(Millis now) const {
  if (UseMbps(now) > kMaxUse * width_mbps_) {
    return true;
  }
  const Part part = LargestPart(now);
  return part.mbps > kArrivingUse * width_mbps_ &&
         std::any_of(peers_.begin(), peers_.end(), [&](const auto& it) {
           const LinkLoad& load = it.second.load;
           return IsCurrent(now, it.second) && load.diverts() &&
                  load.organisation == part.organisation &&
                  load.width_mbps >= width_mbps_;
         });
}

bool CallerDiversion::HasRoom(Millis now) const {
  return static_cast<double>(CountDiverting(now) + 1) <=
         kMaxDivertingFraction * static_cast<double>(instances_);
}

double CallerDiversion::CloseFraction(Millis now) const {
  const double use = RecentUseMbps(now);
  return active_ && use > 0 ? std::max(0.0, 1 - kKeptUse * width_mbps_ / use)
                            : 0;
}

bool CallerDiversion::LoadRemains(Millis now) const {
  const Millis active_for = now - active_since_;
  bool has_news = false;
  const Part part = LargestPart(now);
  double load_mbps = part.organisation == cause_ ? part.mbps : 0;
  for (const auto& [id, peer] : peers_) {
    const LinkLoad& load = peer.load;
    if (!IsCurrent(now, peer)) {
      continue;
    }
    has_news = true;
    if (load.organisation == cause_) {
      load_mbps += load.organisation_mbps;
      if (load.diverts() && load.diverting_ms < active_for.count()) {
        return true;
      }
    }
  }
  if (load_mbps >= kRemainingUse * width_mbps_) {
    return true;
  }
  return !has_news && active_for < kMaxDiversionWithoutNews;
}

void CallerDiversion::OnTick(Millis now) {
  if (width_mbps_ <= 0) {
    return;
  }
  std::erase_if(peers_,
                [&](const auto& it) { return !IsCurrent(now, it.second); });
  std::erase_if(relayed_, [&](const auto& it) {
    return it.second.PerSecond(now) < kMinRelayedPerSecond;
  });
  if (active_) {
    if (LoadRemains(now)) {
      load_seen_at_ = now;
    }
    active_ = now - active_since_ < kMinDiversion ||
              now - load_seen_at_ < kRemainingTime;
    return;
  }
  active_ = IsOverloaded(now) && HasRoom(now);
  active_since_ = now;
  load_seen_at_ = now;
  cause_ = LargestPart(now).organisation;
}

}  // namespace tamaracktrail
