#ifndef COORDINATION_RENDEZVOUS_H_
#define COORDINATION_RENDEZVOUS_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace tamaracktrail {

//! Rendezvous weight of `candidate` for `key`; the highest wins. Thread-safe.
uint64_t RendezvousWeight(const std::string& key, const std::string& candidate);
uint64_t RendezvousWeight(const std::string& key, uint64_t candidate);
//! The same for a key that is a hash already; for choices on each request.
uint64_t RendezvousWeight(uint64_t key, uint64_t candidate);

//! The candidate with the highest weight; 0 for no candidate. Thread-safe.
uint64_t RendezvousPick(const std::string& key,
                        std::span<const uint64_t> candidates);

//! A candidate for each key: the highest in rendezvous order that has fewer
//! than its even part of the keys, rounded up. Empty for no candidate.
//! Thread-safe.
std::vector<uint64_t> RendezvousSpread(const std::vector<std::string>& keys,
                                       std::span<const uint64_t> candidates);

//! Whether `self` is among the `n` highest of `candidates`. Thread-safe.
bool RendezvousAmong(const std::string& key,
                     std::span<const uint64_t> candidates,
                     uint64_t self,
                     size_t n);

}  // namespace tamaracktrail

#endif  // COORDINATION_RENDEZVOUS_H_
