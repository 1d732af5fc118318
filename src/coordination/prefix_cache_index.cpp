#include "coordination/prefix_cache_index.h"

#include <algorithm>

#include "state/digest.h"

namespace tamaracktrail {

std::vector<uint64_t> PrefixCacheIndex::HashPrefixes(
    const std::vector<PromptPart>& parts) {
  std::vector<uint64_t> prefix_hashes;
  prefix_hashes.reserve(parts.size());
  uint64_t prefix_hash = 0;
  for (const PromptPart& it : parts) {
    prefix_hash = StableHash(it.id, prefix_hash);
    prefix_hashes.push_back(prefix_hash);
  }
  return prefix_hashes;
}

void PrefixCacheIndex::OnPromptSent(Millis now,
                                    const std::vector<uint64_t>& prefix_hashes,
                                    uint64_t endpoint) {
  for (const uint64_t prefix : prefix_hashes) {
    auto it = entries_.find(prefix);
    if (it == entries_.end()) {
      if (entries_.size() >= capacity_) {
        entries_.erase(lru_order_.back());
        lru_order_.pop_back();
      }
      lru_order_.push_front(prefix);
      it = entries_.emplace(prefix, Entry{{}, lru_order_.begin()}).first;
    } else {
      lru_order_.splice(lru_order_.begin(), lru_order_,
                        it->second.lru_position);
    }
    CacheLocations& locations = it->second.locations;
    auto slot = std::find_if(locations.begin(), locations.end(),
                             [&](const CacheLocation& location) {
                               return location.endpoint == endpoint;
                             });
    if (slot == locations.end()) {
      slot =
          std::min_element(locations.begin(), locations.end(),
                           [](const CacheLocation& a, const CacheLocation& b) {
                             return a.last_used < b.last_used;
                           });
    }
    *slot = {endpoint, now};
  }
}

const PrefixCacheIndex::CacheLocations* PrefixCacheIndex::Find(
    uint64_t prefix) const {
  const auto it = entries_.find(prefix);
  return it == entries_.end() ? nullptr : &it->second.locations;
}

}  // namespace tamaracktrail
