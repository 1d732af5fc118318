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

//! Picks one of several candidates for a request.
//! Precondition of Pick: `candidates` is not empty.
template <class C>
concept EndpointChoice = requires(const C choice,
                                  std::span<const EndpointCandidate> candidates,
                                  const std::string& prefix,
                                  Random& random) {
  { choice.Pick(candidates, prefix, random) } -> std::same_as<size_t>;
};

//! Baseline: any candidate. Thread-safe.
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

//! The product's choice: the endpoint that is likely to have the prompt's
//! prefix in its cache while its load is within a bound, else the better of two
//! random ones. Thread-safe.
struct AffinityChoice {
  double load_bound = 1.25;  //!< Times the mean load.
  double load_slack = 0.15;  //!< Added to the bound.
  int ranks = 2;             //!< Places in rendezvous order that count.

  size_t Pick(std::span<const EndpointCandidate> candidates,
              const std::string& prefix,
              Random& random) const;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_CHOICE_H_
