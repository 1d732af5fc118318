#include "coordination/caller_diversion.h"

#include <algorithm>

namespace tamaracktrail {

namespace {

//! Above this part of the link's width, packets of all callers begin to wait in
//! the queue of the link. The bytes counted lack the headers of packets and the
//! acknowledgements, a quarter to a third of the traffic of event streams.
constexpr double kMaxUse = 0.6;

//! While a peer diverts a load, a use above this part of the width is taken for
//! the beginning of that load: the load balancer takes up to 2 s to divert it
//! again, and the queue of the link would grow meanwhile.
constexpr double kArrivingUse = 0.35;

//! A peer that uses this part of the own width carries a load which should not
//! come back. Below kMaxUse, as hysteresis.
constexpr double kCarriedUse = 0.45;

//! Shortest diversion. The load balancer takes up to 2 s to notice, and the
//! load then takes a second to show at a peer.
constexpr Millis kMinDiversion{5000};

//! Without reports of peers, callers are taken back after this time.
constexpr Millis kMaxDiversionWithoutNews{20000};

//! Largest part of a data centre's instances that divert callers at once. The
//! load balancer uses all instances if fewer than half are ready. Two instances
//! may decide at the same moment, so this is below a quarter.
constexpr double kMaxDivertingFraction = 0.2;

//! A report expires after this time; peers repeat an unchanged one after
//! 250 ms.
constexpr Millis kReportLifetime{600};

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

void CallerDiversion::OnReport(Millis now,
                               uint64_t peer,
                               const LinkLoad& load) {
  peers_[peer] = {now, load};
}

double CallerDiversion::UseMbps(Millis now) const {
  return ToMbps(std::max(received_.PerSecond(now), sent_.PerSecond(now)));
}

LinkLoad CallerDiversion::MakeReport(Millis now) const {
  return {static_cast<float>(width_mbps_), static_cast<float>(UseMbps(now)),
          active_};
}

size_t CallerDiversion::CountDiverting(Millis now) const {
  return static_cast<size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& it) {
        return now - it.second.reported_at <= kReportLifetime &&
               it.second.load.diverts;
      }));
}

bool CallerDiversion::HasNews(Millis now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& it) {
    return now - it.second.reported_at <= kReportLifetime;
  });
}

bool CallerDiversion::IsOverloaded(Millis now) const {
  if (UseMbps(now) > kMaxUse * width_mbps_) {
    return true;
  }
  const bool narrower_than_diverting =
      std::any_of(peers_.begin(), peers_.end(), [&](const auto& it) {
        return now - it.second.reported_at <= kReportLifetime &&
               it.second.load.diverts &&
               it.second.load.width_mbps >= width_mbps_;
      });
  const double lately = ToMbps(
      std::max(received_lately_.PerSecond(now), sent_lately_.PerSecond(now)));
  return narrower_than_diverting && lately > kArrivingUse * width_mbps_;
}

bool CallerDiversion::HasRoom(Millis now) const {
  return static_cast<double>(CountDiverting(now) + 1) <=
         kMaxDivertingFraction * static_cast<double>(instances_);
}

bool CallerDiversion::IsCarriedByPeer(Millis now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& it) {
    return now - it.second.reported_at <= kReportLifetime &&
           it.second.load.use_mbps >= kCarriedUse * width_mbps_;
  });
}

void CallerDiversion::OnTick(Millis now) {
  if (width_mbps_ <= 0) {
    return;
  }
  std::erase_if(peers_, [&](const auto& it) {
    return now - it.second.reported_at > kReportLifetime;
  });
  if (!active_) {
    active_ = IsOverloaded(now) && HasRoom(now);
    active_since_ = now;
    return;
  }
  const Millis active_for = now - active_since_;
  active_ = active_for < kMinDiversion ||
            (HasNews(now) ? IsCarriedByPeer(now)
                          : active_for < kMaxDiversionWithoutNews);
}

}  // namespace tamaracktrail
