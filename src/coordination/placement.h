#ifndef COORDINATION_PLACEMENT_H_
#define COORDINATION_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/allowed_regions.h"
#include "coordination/prompt_shape.h"
#include "state/millis.h"

namespace tamaracktrail {

class EndpointRegistry;
class PrefixCacheIndex;
struct EndpointState;
struct RoutedService;

//! Chooses the endpoint with the lowest predicted cost for a request.
//!
//! Prompt lengths vary by a factor of 100, so the number of open requests says
//! little about how long a new one waits at an engine. The requests of a
//! session arrive at all instances, which have to choose the same engine for
//! the shared prefix without communicating. Not thread-safe.
class Placement {
 public:
  struct Request {
    const RoutedService* service = nullptr;
    //! nullptr for services without engines.
    const PromptShape* prompt = nullptr;
    //! Prefix hashes of the prompt's parts; used only with `prompt`.
    const std::vector<uint64_t>* prefix_hashes = nullptr;
    //! Hashes of the incarnations that this request was already sent to.
    const std::set<uint64_t>* tried = nullptr;
    AllowedRegions allowed_regions;
  };

  struct Choice {
    std::string id;
    int64_t start_unix_ms = 0;
    uint64_t incarnation_hash = 0;
    std::string address;
    //! Time to the first event of a stream, or to the answer of a service
    //! without engines.
    Millis predicted;
    int64_t uncached_tokens = 0;  //!< Prompt tokens to prefill.
    //! Address of the engine to fetch the shared prefix from, or "".
    std::string fetch_from;
  };

  //! Precondition: `registry` and `prefix_index` outlive the placement.
  Placement(const EndpointRegistry* registry,
            const PrefixCacheIndex* prefix_index,
            std::string data_centre);

  //! Returns nullopt if no endpoint may receive the request. `jitter` is
  //! uniform in [0, 1), with a new value for each call.
  std::optional<Choice> Choose(Millis now,
                               const Request& request,
                               double jitter) const;

 private:
  struct Estimate;

  //! Whether this instance sent the engine a prompt with this prefix within the
  //! cache lifetime.
  bool HasPrefixCached(Millis now,
                       uint64_t prefix,
                       const EndpointState& state) const;
  //! Returns the engine that used the prefix last, if that was within the cache
  //! lifetime and the engine is neither suspended nor evacuated and is
  //! in an allowed region; else `preferred`.
  const EndpointState* FindPrefixSource(Millis now,
                                        const Request& request,
                                        uint64_t prefix,
                                        const EndpointState* preferred) const;
  Estimate EstimateEngine(Millis now,
                          const Request& request,
                          const EndpointState& state,
                          const EndpointState* preferred) const;
  Estimate EstimateEndpoint(Millis now,
                            const Request& request,
                            const EndpointState& state,
                            const EndpointState* preferred) const;
  //! Returns the engine that all instances prefer for the request's session;
  //! nullptr if the prompt has no shared part. Restricted endpoints are not
  //! preferred.
  const EndpointState* FindPreferred(
      Millis now,
      const Request& request,
      const std::vector<const EndpointState*>& usable) const;
  static double EstimateWithoutPrefill(const EndpointState& state);

  const EndpointRegistry* registry_;
  const PrefixCacheIndex* prefix_index_;
  std::string data_centre_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_PLACEMENT_H_
