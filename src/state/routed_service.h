#ifndef STATE_ROUTED_SERVICE_H_
#define STATE_ROUTED_SERVICE_H_

#include <cstdint>
#include <string>

namespace tamaracktrail {

//! One service of a configuration, with what its endpoints have in common.
struct RoutedService {
  std::string name;
  int connection_limit = 0;  //!< Of one endpoint, over all callers.
  bool generates = false;    //!< Its endpoints are model engines.
  int slots = 0;             //!< Requests that an engine runs at once.
  int64_t cache_tokens = 0;  //!< Memory of an engine.
  //! Tokens that an event of a stream holds; 0 where the service says nothing.
  int event_tokens = 0;
  int64_t token_bytes = 0;  //!< Memory of one token.
  double link_mbps = 0;     //!< Between engines, for memory that moves.

  friend bool operator==(const RoutedService&, const RoutedService&) = default;
};

}  // namespace tamaracktrail

#endif  // STATE_ROUTED_SERVICE_H_
