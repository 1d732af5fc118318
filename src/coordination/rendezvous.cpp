#include "coordination/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <map>

#include "state/digest.h"

namespace tamaracktrail {

uint64_t RendezvousWeight(const std::string& key,
                          const std::string& candidate) {
  return StableHash(candidate, StableHash(key));
}

uint64_t RendezvousWeight(const std::string& key, uint64_t candidate) {
  return RendezvousWeight(key, Hex(candidate));
}

uint64_t RendezvousWeight(uint64_t key, uint64_t candidate) {
  return StableHash(candidate, key);
}

uint64_t RendezvousPick(const std::string& key,
                        std::span<const uint64_t> candidates) {
  uint64_t best = 0;
  uint64_t best_weight = 0;
  for (const uint64_t it : candidates) {
    const uint64_t weight = RendezvousWeight(key, it);
    if (best == 0 || weight > best_weight) {
      best = it;
      best_weight = weight;
    }
  }
  return best;
}

std::vector<uint64_t> RendezvousAssign(const std::vector<std::string>& keys,
                                       std::span<const uint64_t> candidates) {
  std::vector<uint64_t> assigned;
  if (candidates.empty()) {
    return assigned;
  }
  const size_t max_keys =
      (keys.size() + candidates.size() - 1) / candidates.size();
  std::map<uint64_t, size_t> counts;
  for (const std::string& key : keys) {
    std::vector<uint64_t> below_limit;
    std::copy_if(candidates.begin(), candidates.end(),
                 std::back_inserter(below_limit),
                 [&](uint64_t it) { return counts[it] < max_keys; });
    assigned.push_back(RendezvousPick(key, below_limit));
    ++counts[assigned.back()];
  }
  return assigned;
}

bool RendezvousIsAmongTop(const std::string& key,
                          std::span<const uint64_t> candidates,
                          uint64_t self,
                          size_t n) {
  const uint64_t own_weight = RendezvousWeight(key, self);
  const auto higher_count =
      std::count_if(candidates.begin(), candidates.end(), [&](uint64_t it) {
        return it != self && RendezvousWeight(key, it) > own_weight;
      });
  return static_cast<size_t>(higher_count) < n;
}

}  // namespace tamaracktrail
