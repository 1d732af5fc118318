#ifndef STATE_ROUTED_SERVICE_H_
#define STATE_ROUTED_SERVICE_H_

#include <cstdint>
#include <string>

namespace tamaracktrail {

//! One service of a configuration, with the properties that all of its
//! endpoints share.
struct RoutedService {
  std::string name;
  int connection_limit = 0;  //!< Connections per endpoint from all callers.
  //! Requests a second that an endpoint tolerates while it is cold; 0 for no
  //! limit.
  double cold_per_second = 0;
  bool has_engines = false;     //!< Its endpoints are model engines.
  int slots = 0;                //!< Concurrent requests per engine.
  int64_t kv_cache_tokens = 0;  //!< Capacity of an engine's KV cache.
  //! Tokens per event of a stream; 0 if the service does not specify it.
  int tokens_per_event = 0;
  int64_t kv_token_bytes = 0;  //!< KV cache bytes per token.
  //! Bandwidth between two engines for KV cache transfers, in Mbit/s; 0 for no
  //! transfers.
  double link_mbps = 0;

  friend bool operator==(const RoutedService&, const RoutedService&) = default;
};

}  // namespace tamaracktrail

#endif  // STATE_ROUTED_SERVICE_H_
