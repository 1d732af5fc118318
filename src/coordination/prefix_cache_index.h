#ifndef COORDINATION_PREFIX_CACHE_INDEX_H_
#define COORDINATION_PREFIX_CACHE_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "coordination/prompt_part.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Records which endpoints are likely to have a prompt prefix cached, from the
//! requests that this instance sent. Bounded; evicts the least recently used
//! prefix. Not thread-safe.
class PrefixCacheIndex {
 public:
  //! Limit of the locations that are kept for each prefix; the least recently
  //! used one is replaced.
  static constexpr size_t kMaxLocations = 3;

  struct CacheLocation {
    uint64_t endpoint = 0;  //!< Hash of an incarnation; 0 if unused.
    Millis last_used;
  };
  using CacheLocations = std::array<CacheLocation, kMaxLocations>;

  //! `capacity` is the number of prefixes.
  explicit PrefixCacheIndex(size_t capacity) : capacity_(capacity) {}

  //! Returns a hash for each part of a prompt, which identifies the prefix that
  //! ends with that part.
  static std::vector<uint64_t> HashPrefixes(
      const std::vector<PromptPart>& parts);

  //! A prompt with these prefix hashes was sent to an endpoint.
  void OnPromptSent(Millis now,
                    const std::vector<uint64_t>& prefix_hashes,
                    uint64_t endpoint);

  //! Returns the last endpoints that a prefix was sent to, in no order; unused
  //! elements have endpoint 0. Returns nullptr if the prefix is not known.
  const CacheLocations* Find(uint64_t prefix) const;

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    CacheLocations locations;
    std::list<uint64_t>::iterator lru_position;
  };

  size_t capacity_;
  std::unordered_map<uint64_t, Entry> entries_;
  std::list<uint64_t> lru_order_;  //!< Most recently used first.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_PREFIX_CACHE_INDEX_H_
