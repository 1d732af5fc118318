#ifndef COORDINATION_RENDEZVOUS_H_
#define COORDINATION_RENDEZVOUS_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace tamaracktrail {

//! Rendezvous (highest random weight) hash of `candidate` for `key`; the
//! candidate with the highest weight is chosen. Thread-safe.
uint64_t RendezvousWeight(const std::string& key, const std::string& candidate);
uint64_t RendezvousWeight(const std::string& key, uint64_t candidate);
//! Computes the weight for a key that is already a hash, which is cheap enough
//! for each request. Thread-safe.
uint64_t RendezvousWeight(uint64_t key, uint64_t candidate);

//! Returns the candidate with the highest weight; 0 if there are no candidates.
//! Thread-safe.
uint64_t RendezvousPick(const std::string& key,
                        std::span<const uint64_t> candidates);

//! Assigns each key, in order, to the candidate with the highest weight that is
//! below the limit of keys per candidate: the number of keys divided by the
//! number of candidates, rounded up. Empty if there are no candidates.
//! Thread-safe.
std::vector<uint64_t> RendezvousAssign(const std::vector<std::string>& keys,
                                       std::span<const uint64_t> candidates);

//! Whether `self` is among the `n` candidates with the highest weight.
//! Thread-safe.
bool RendezvousIsAmongTop(const std::string& key,
                          std::span<const uint64_t> candidates,
                          uint64_t self,
                          size_t n);

}  // namespace tamaracktrail

#endif  // COORDINATION_RENDEZVOUS_H_
