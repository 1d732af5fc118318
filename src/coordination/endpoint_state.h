#ifndef COORDINATION_ENDPOINT_STATE_H_
#define COORDINATION_ENDPOINT_STATE_H_

#include <cstdint>
#include <set>
#include <string>

#include "coordination/endpoint_load.h"
#include "state/endpoint_entry.h"
#include "state/millis.h"

namespace tamaracktrail {

//! What an instance knows about one incarnation of an endpoint.
struct EndpointState {
  EndpointEntry entry;
  uint64_t incarnation_hash =
      0;  //!< Identifies the incarnation in peer messages.
  //! When it disappeared from the directory, without announcing it, while the
  //! store was in doubt; 0 while it is listed.
  Millis missing_since;
  //! When the first entry of this incarnation was applied.
  Millis known_since;

  EndpointLoad own_load;   //!< Opened by this instance.
  EndpointLoad peer_load;  //!< Opened by the peers, as last reported.

  //! Smoothed fraction of failed requests, 0 to 1, and when it was updated.
  double failure_rate = 0;
  Millis failure_rate_at;
  int consecutive_losses = 0;  //!< Lost, unreachable or misdirected.
  //! No new requests before this time, unless all endpoints are suspended.
  Millis suspended_until;
  //! Predicted times of the first bytes of unanswered requests, ms.
  std::multiset<int64_t> first_bytes_due_ms;
  //! Smoothed ratio of measured to predicted time to the first event.
  double latency_ratio = 1;

  int64_t uncached_tokens() const {
    return own_load.uncached_tokens + peer_load.uncached_tokens;
  }
  int open() const { return own_load.open + peer_load.open; }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_STATE_H_
