#include "coordination/endpoint_limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

#include "coordination/rendezvous.h"
#include "coordination/token_bucket.h"
#include "state/digest.h"

namespace tamaracktrail {

namespace {

//! A limit of r a second is divided among r + 3 instances, each of which may
//! send one request at once after a pause. In any 4 s they send 5 r + 3
//! together at most.
constexpr double kSendersBeyondLimit = 3;

//! Requests a second that are sent to an endpoint which names a lower limit.
//! Without any request it could not say that the limit has ended.
constexpr double kMinPerSecond = 0.05;

//! Without news of a limit for this time, instances that send nothing may have
//! missed its end; see Rules::stale_fraction.
constexpr Millis kMaxNewsAge{15000};

//! News are reported to the peers for this time, for those that were cut off.
constexpr Millis kReportTime{30000};

}  // namespace

void EndpointLimits::SetInstances(std::vector<uint64_t> instances,
                                  uint64_t self) {
  if (instances == instances_ && self == self_) {
    return;
  }
  instances_ = std::move(instances);
  self_ = self;
  SetAllRates();
}

void EndpointLimits::SetRules(Rules rules) {
  rules_ = std::move(rules);
  SetAllRates();
}

void EndpointLimits::SetAllRates() {
  for (auto& [endpoint, it] : limits_) {
    if (it.ended_at == Millis(0)) {
      SetRates(endpoint, &it);
    }
  }
}

EndpointLimits::Change EndpointLimits::OnAnswer(
    Millis now,
    uint64_t endpoint,
    Millis sent_at,
    std::optional<double> per_second) {
  const auto it = limits_.find(endpoint);
  // An answer to an earlier request may arrive after one that names a limit.
  if (!per_second && (it == limits_.end() || sent_at <= it->second.heard_at)) {
    return Change::kNone;
  }
  const Change change = Apply(now, endpoint, per_second);
  Limit& limit = limits_.at(endpoint);
  limit.told_at = now;
  limit.heard_at = now;
  return change;
}

EndpointLimits::Change EndpointLimits::Set(Millis now,
                                           uint64_t endpoint,
                                           std::optional<double> per_second) {
  if (!per_second && !limits_.contains(endpoint)) {
    return Change::kNone;
  }
  const Change change = Apply(now, endpoint, per_second);
  limits_.at(endpoint).heard_at = now;
  return change;
}

EndpointLimits::Change EndpointLimits::OnReport(Millis now,
                                                const ReportedLimit& reported) {
  const auto it = limits_.find(reported.endpoint);
  const Millis told_at = now - Millis(reported.age_ms);
  const bool ends = reported.per_second < 0;
  if (!std::isfinite(reported.per_second) || reported.age_ms < 0 ||
      Millis(reported.age_ms) > kReportTime ||
      (it == limits_.end() ? ends : told_at <= it->second.heard_at)) {
    return Change::kNone;
  }
  const Change change =
      Apply(now, reported.endpoint,
            ends ? std::nullopt : std::optional<double>(reported.per_second));
  limits_.at(reported.endpoint).heard_at = told_at;
  return change;
}

EndpointLimits::Change EndpointLimits::Apply(Millis now,
                                             uint64_t endpoint,
                                             std::optional<double> per_second) {
  Limit& limit = limits_[endpoint];
  const bool is_new = limit.heard_at == Millis(0);
  const bool had_ended = limit.ended_at > Millis(0);
  if (!per_second) {
    if (is_new || had_ended) {
      return Change::kNone;
    }
    const auto n = static_cast<double>(std::max<size_t>(1, instances_.size()));
    limit.own_rate =
        std::max(limit.per_second / n, rules_.min_return_per_second);
    limit.tokens = FirstTokens(endpoint);
    limit.updated_at = now;
    limit.ended_at = now;
    return Change::kEnded;
  }
  if (is_new || had_ended) {
    limit.ended_at = {};
    limit.tokens = FirstTokens(endpoint);
  } else if (limit.per_second == *per_second) {
    return Change::kNone;
  } else {
    limit.tokens = TokensOf(now, limit);
  }
  limit.updated_at = now;
  limit.per_second = *per_second;
  SetRates(endpoint, &limit);
  return is_new || had_ended ? Change::kNamed : Change::kChanged;
}

void EndpointLimits::SetRates(uint64_t endpoint, Limit* limit) const {
  const Division division = rules_.divide(limit->per_second);
  const double rate = division.per_second;
  const size_t senders = SenderCount(division.senders);
  limit->own_rate = 0;
  limit->stale_rate = 0;
  if (senders == 0) {
    return;
  }
  if (RendezvousIsAmongTop(Hex(endpoint), instances_, self_, senders)) {
    limit->own_rate = rate / static_cast<double>(senders);
    limit->stale_rate = limit->own_rate;
  } else {
    limit->stale_rate =
        rules_.stale_fraction * rate / static_cast<double>(instances_.size());
  }
}

EndpointLimits::Division EndpointLimits::DivideNamedLimit(double per_second) {
  const double rate = std::max(per_second, kMinPerSecond);
  return {rate, std::floor(rate) + kSendersBeyondLimit};
}

size_t EndpointLimits::SenderCount(double senders) const {
  return senders >= static_cast<double>(instances_.size())
             ? instances_.size()
             : static_cast<size_t>(senders);
}

double EndpointLimits::FirstTokens(uint64_t endpoint) const {
  constexpr uint64_t kSteps = 1024;
  return static_cast<double>(StableHash(endpoint, self_) % kSteps) /
         static_cast<double>(kSteps);
}

std::vector<ReportedLimit> EndpointLimits::MakeReport(Millis now) const {
  std::vector<ReportedLimit> report;
  for (const auto& [endpoint, it] : limits_) {
    // What peers reported is not passed on: it would never grow old.
    if (it.told_at > Millis(0) && it.told_at == it.heard_at &&
        now - it.told_at <= kReportTime) {
      report.push_back({endpoint, it.ended_at > Millis(0) ? -1 : it.per_second,
                        (now - it.told_at).count()});
    }
  }
  return report;
}

std::optional<double> EndpointLimits::LimitOf(uint64_t endpoint) const {
  const auto it = limits_.find(endpoint);
  return it == limits_.end() || it->second.ended_at > Millis(0)
             ? std::nullopt
             : std::optional<double>(it->second.per_second);
}

double EndpointLimits::RateOf(Millis now, const Limit& limit) {
  if (limit.ended_at == Millis(0)) {
    return now - limit.heard_at > kMaxNewsAge ? limit.stale_rate
                                              : limit.own_rate;
  }
  return ReturnRate(limit.own_rate, now - limit.ended_at);
}

double EndpointLimits::TokensOf(Millis now, const Limit& limit) {
  return RefillBucket(limit.tokens, RateOf(limit.updated_at, limit),
                      RateOf(now, limit), now - limit.updated_at);
}

bool EndpointLimits::MaySend(Millis now, uint64_t endpoint) const {
  const auto it = limits_.find(endpoint);
  return it == limits_.end() ||
         (RateOf(now, it->second) > 0 && TokensOf(now, it->second) >= 1);
}

double EndpointLimits::OwnRate(uint64_t endpoint) const {
  const auto it = limits_.find(endpoint);
  return it == limits_.end() ? std::numeric_limits<double>::infinity()
                             : it->second.own_rate;
}

bool EndpointLimits::IsRestricted(Millis now, uint64_t endpoint) const {
  const auto it = limits_.find(endpoint);
  return it != limits_.end() && (it->second.ended_at == Millis(0) ||
                                 RateOf(now, it->second) < kUnlimitedPerSecond);
}

double EndpointLimits::RatePerSecond(Millis now, uint64_t endpoint) const {
  const auto it = limits_.find(endpoint);
  return it == limits_.end() ? std::numeric_limits<double>::infinity()
                             : RateOf(now, it->second);
}

std::optional<Millis> EndpointLimits::TimeToNext(Millis now,
                                                 uint64_t endpoint) const {
  const auto it = limits_.find(endpoint);
  if (it == limits_.end()) {
    return Millis(0);
  }
  const double rate = RateOf(now, it->second);
  if (rate <= 0) {
    return std::nullopt;
  }
  const double missing = 1 - TokensOf(now, it->second);
  constexpr double kMaxMs = 1e9;
  return Millis(static_cast<int64_t>(
      std::clamp(std::ceil(missing / rate * 1000), 0.0, kMaxMs)));
}

void EndpointLimits::OnSent(Millis now, uint64_t endpoint) {
  const auto it = limits_.find(endpoint);
  if (it != limits_.end()) {
    it->second.tokens = TokensOf(now, it->second) - 1;
    it->second.updated_at = now;
  }
}

void EndpointLimits::OnTick(Millis now) {
  std::erase_if(limits_, [&](const auto& it) {
    const Limit& limit = it.second;
    return limit.ended_at > Millis(0) && now - limit.ended_at > kReportTime &&
           RateOf(now, limit) >= kUnlimitedPerSecond;
  });
}

size_t EndpointLimits::size() const {
  return static_cast<size_t>(std::count_if(
      limits_.begin(), limits_.end(),
      [](const auto& it) { return it.second.ended_at == Millis(0); }));
}

}  // namespace tamaracktrail
