#ifndef COORDINATION_PREFIX_MEMORY_H_
#define COORDINATION_PREFIX_MEMORY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "coordination/prompt_part.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Remembers which endpoints have read a beginning of a prompt of late, from
//! the requests that this instance sent. Bounded; the least recently used
//! beginning yields. Not thread-safe.
class PrefixMemory {
 public:
  //! Holders that are kept for one beginning.
  static constexpr size_t kHolders = 3;

  struct Holder {
    uint64_t endpoint = 0;  //!< Hash of an incarnation; 0 for none.
    Millis used;
  };
  using Holders = std::array<Holder, kHolders>;

  explicit PrefixMemory(size_t capacity) : capacity_(capacity) {}

  //! Names the beginning of each length of a prompt: one hash a part.
  static std::vector<uint64_t> Chain(const std::vector<PromptPart>& parts);

  //! An endpoint begins to read the prompt with this chain.
  void OnRead(Millis now,
              const std::vector<uint64_t>& chain,
              uint64_t endpoint);

  //! Endpoints that have read a beginning; nullptr for none.
  const Holders* Find(uint64_t beginning) const;

  size_t size() const { return known_.size(); }

 private:
  struct Known {
    Holders holders;
    std::list<uint64_t>::iterator order;
  };

  size_t capacity_;
  std::unordered_map<uint64_t, Known> known_;
  std::list<uint64_t> order_;  //!< Most recently used first.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_PREFIX_MEMORY_H_
