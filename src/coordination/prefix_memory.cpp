#include "coordination/prefix_memory.h"

#include <algorithm>

#include "state/digest.h"

namespace tamaracktrail {

std::vector<uint64_t> PrefixMemory::Chain(
    const std::vector<PromptPart>& parts) {
  std::vector<uint64_t> chain;
  chain.reserve(parts.size());
  uint64_t before = 0;
  for (const PromptPart& it : parts) {
    before = StableHash(it.id, before);
    chain.push_back(before);
  }
  return chain;
}

void PrefixMemory::OnRead(Millis now,
                          const std::vector<uint64_t>& chain,
                          uint64_t endpoint) {
  for (const uint64_t beginning : chain) {
    auto it = known_.find(beginning);
    if (it == known_.end()) {
      if (known_.size() >= capacity_) {
        known_.erase(order_.back());
        order_.pop_back();
      }
      order_.push_front(beginning);
      it = known_.emplace(beginning, Known{{}, order_.begin()}).first;
    } else {
      order_.splice(order_.begin(), order_, it->second.order);
    }
    Holders& holders = it->second.holders;
    auto slot = std::find_if(
        holders.begin(), holders.end(),
        [&](const Holder& holder) { return holder.endpoint == endpoint; });
    if (slot == holders.end()) {
      slot = std::min_element(
          holders.begin(), holders.end(),
          [](const Holder& a, const Holder& b) { return a.used < b.used; });
    }
    *slot = {endpoint, now};
  }
}

const PrefixMemory::Holders* PrefixMemory::Find(uint64_t beginning) const {
  const auto it = known_.find(beginning);
  return it == known_.end() ? nullptr : &it->second.holders;
}

}  // namespace tamaracktrail
