#include "coordination/endpoint_speeds.h"

#include <algorithm>
#include <cmath>

namespace tamaracktrail {

namespace {

//! Samples decay to 1/e in this time. An endpoint gets 2 to 3 samples a second
//! from all instances of a data centre, so about 25 count.
constexpr double kDecayMs = 10000;

//! Bounds of the ratio of one sample and of the factor.
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 20;

//! Samples with the ratio 1 that every endpoint starts with: a single sample
//! may have waited behind requests that were not known yet.
constexpr double kPriorSamples = 2;

//! Samples are dropped below this count.
constexpr double kMinCount = 0.02;

//! Largest count that is believed in a report.
constexpr double kMaxReportedCount = 10000;

//! Unchanged endpoints in each report: all of 112 are repeated in 5 s.
constexpr size_t kRepeated = 3;

}  // namespace

void EndpointSpeeds::OnSample(uint64_t endpoint, double ratio) {
  Samples& own = endpoints_[endpoint].own;
  ++own.count;
  own.log_ratios += std::log(std::clamp(ratio, kMinRatio, kMaxRatio));
  changed_.insert(endpoint);
}

void EndpointSpeeds::OnReported(uint64_t peer, const ReportedSpeed& reported) {
  const double count = reported.samples;
  const double log_ratios = reported.log_ratios;
  const bool possible = count >= 0 && count <= kMaxReportedCount &&
                        log_ratios >= count * std::log(kMinRatio) - 1 &&
                        log_ratios <= count * std::log(kMaxRatio) + 1;
  if (!possible) {
    return;
  }
  auto& peers = endpoints_[reported.endpoint].peers;
  const auto it = std::find_if(peers.begin(), peers.end(),
                               [&](const auto& p) { return p.first == peer; });
  if (it != peers.end()) {
    it->second = {count, log_ratios};
  } else {
    peers.emplace_back(peer, Samples{count, log_ratios});
  }
}

std::vector<ReportedSpeed> EndpointSpeeds::MakeReport() {
  std::vector<ReportedSpeed> report;
  const auto add = [&](uint64_t endpoint, const Samples& own) {
    report.push_back({endpoint, static_cast<float>(own.count),
                      static_cast<float>(own.log_ratios)});
  };
  while (!changed_.empty() && report.size() + kRepeated < kMaxReported) {
    const auto it = changed_.begin();
    add(*it, endpoints_.at(*it).own);
    changed_.erase(it);
  }
  size_t repeated = 0;
  for (size_t i = 0; i < endpoints_.size() && repeated < kRepeated; ++i) {
    auto it = endpoints_.upper_bound(rotation_);
    it = it == endpoints_.end() ? endpoints_.begin() : it;
    rotation_ = it->first;
    if (it->second.own.count > 0) {
      add(it->first, it->second.own);
      ++repeated;
    }
  }
  return report;
}

void EndpointSpeeds::OnTick(Millis now) {
  const Millis age = decayed_at_ == Millis(0) ? Millis(0) : now - decayed_at_;
  const double kept = std::exp(-static_cast<double>(age.count()) / kDecayMs);
  decayed_at_ = now;
  const auto decay = [&](Samples* samples) {
    samples->count *= kept;
    samples->log_ratios *= kept;
    if (samples->count < kMinCount) {
      *samples = {};
    }
  };
  for (auto& [hash, endpoint] : endpoints_) {
    decay(&endpoint.own);
    Samples sum = endpoint.own;
    for (auto& [peer, samples] : endpoint.peers) {
      decay(&samples);
      sum.count += samples.count;
      sum.log_ratios += samples.log_ratios;
    }
    std::erase_if(endpoint.peers,
                  [](const auto& it) { return it.second.count == 0; });
    endpoint.factor = std::exp(sum.log_ratios / (sum.count + kPriorSamples));
  }
}

double EndpointSpeeds::FactorOf(uint64_t endpoint) const {
  const auto it = endpoints_.find(endpoint);
  return it == endpoints_.end() ? 1 : it->second.factor;
}

void EndpointSpeeds::Forget(uint64_t endpoint) {
  endpoints_.erase(endpoint);
  changed_.erase(endpoint);
}

}  // namespace tamaracktrail
