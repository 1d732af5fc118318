#include "coordination/endpoint_choice.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

#include <glog/logging.h>

#include "coordination/rendezvous.h"

namespace tamaracktrail {

namespace {

size_t RandomIndex(size_t n, Random& random) {
  return std::uniform_int_distribution<size_t>(0, n - 1)(random);
}

}  // namespace

size_t RandomChoice::Pick(std::span<const EndpointCandidate> candidates,
                          const std::string&,
                          Random& random) const {
  CHECK(!candidates.empty());
  return RandomIndex(candidates.size(), random);
}

size_t LeastLoadedChoice::Pick(std::span<const EndpointCandidate> candidates,
                               const std::string&,
                               Random&) const {
  CHECK(!candidates.empty());
  const auto it = std::min_element(
      candidates.begin(), candidates.end(),
      [](const auto& a, const auto& b) { return a.load < b.load; });
  return static_cast<size_t>(it - candidates.begin());
}

size_t AffinityChoice::Pick(std::span<const EndpointCandidate> candidates,
                            const std::string& prefix,
                            Random& random) const {
  CHECK(!candidates.empty());
  const double sum = std::accumulate(
      candidates.begin(), candidates.end(), 0.0,
      [](double n, const EndpointCandidate& it) { return n + it.load; });
  const double max_load =
      load_bound * sum / static_cast<double>(candidates.size()) + load_slack;
  if (!prefix.empty()) {
    std::vector<std::pair<uint64_t, size_t>> ranked;
    for (size_t i = 0; i < candidates.size(); ++i) {
      ranked.emplace_back(RendezvousWeight(prefix, candidates[i].name), i);
    }
    const size_t n = std::min<size_t>(top_candidates, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + n, ranked.end(),
                      std::greater<>());
    for (size_t i = 0; i < n; ++i) {
      if (candidates[ranked[i].second].load <= max_load) {
        return ranked[i].second;
      }
    }
  }
  const size_t a = RandomIndex(candidates.size(), random);
  const size_t b = RandomIndex(candidates.size(), random);
  return candidates[b].load < candidates[a].load ? b : a;
}

}  // namespace tamaracktrail
