#ifndef COORDINATION_ENDPOINT_CHOICE_H_
#define COORDINATION_ENDPOINT_CHOICE_H_

#include <concepts>
#include <cstdint>
#include <random>
#include <span>
#include <string>

#include "coordination/endpoint_candidate.h"

namespace tamaracktrail {

using Random = std::mt19937_64;

//! A policy that picks one of several candidates for a request.
//! Precondition of Pick: `candidates` is not empty.
template <class C>
concept EndpointChoice = requires(const C choice,
                                  std::span<const EndpointCandidate> candidates,
                                  const std::string& prefix,
                                  Random& random) {
  { choice.Pick(candidates, prefix, random) } -> std::same_as<size_t>;
};

//! Baseline: a random candidate. Thread-safe.
struct RandomChoice {
  size_t Pick(std::span<const EndpointCandidate> candidates,
              const std::string& prefix,
              Random& random) const;
};

//! Baseline: the least loaded candidate. Thread-safe.
struct LeastLoadedChoice {
  size_t Pick(std::span<const EndpointCandidate> candidates,
              const std::string& prefix,
              Random& random) const;
};

//! The policy of EntryCalls: an endpoint that is likely to have the prompt's
//! prefix cached if its load is within a bound, else the less loaded of two
//! random ones. Thread-safe.
struct AffinityChoice {
  //! A candidate that is likely to have the prefix cached is accepted up to
  //! this multiple of the mean load of all candidates...
  double load_bound = 1.25;
  double load_slack = 0.15;  //!< ... plus this load (requests / capacity).
  //! Number of candidates to consider, in rendezvous order.
  int top_candidates = 2;

  size_t Pick(std::span<const EndpointCandidate> candidates,
              const std::string& prefix,
              Random& random) const;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_CHOICE_H_
