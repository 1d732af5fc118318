#ifndef COORDINATION_ENDPOINT_STATE_H_
#define COORDINATION_ENDPOINT_STATE_H_

#include <cstdint>
#include <set>
#include <string>

#include "coordination/endpoint_load.h"
#include "state/endpoint_entry.h"
#include "state/millis.h"

namespace tamaracktrail {

//! What an instance knows of one incarnation of an endpoint.
struct EndpointState {
  EndpointEntry entry;
  uint64_t hash = 0;  //!< Names the incarnation in messages between instances.
  //! When it left the directory without a word while the store was in doubt;
  //! 0 while it is listed.
  Millis lapsed_at;
  Millis known_since;

  EndpointLoad own;    //!< Opened by this instance.
  EndpointLoad peers;  //!< Opened by the others, as they last said.

  //! Smoothed part of requests that failed, 0 to 1, and when it was updated.
  double failures = 0;
  Millis failures_at;
  int lost_in_row = 0;     //!< Connections lost or refused without an answer.
  Millis suspended_until;  //!< Gets nothing new before, unless all are so.
  //! When the first bytes of unanswered requests were predicted, in ms.
  std::multiset<int64_t> due;
  //! Smoothed ratio of measured to predicted time to the first event.
  double slowness = 1;

  int64_t prompt_tokens() const {
    return own.prompt_tokens + peers.prompt_tokens;
  }
  int open() const { return own.open + peers.open; }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_STATE_H_
