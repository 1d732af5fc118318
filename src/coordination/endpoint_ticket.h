#ifndef COORDINATION_ENDPOINT_TICKET_H_
#define COORDINATION_ENDPOINT_TICKET_H_

#include <cstdint>
#include <string>

#include "state/millis.h"

namespace tamaracktrail {

//! One request that was sent to an endpoint and has not ended, for the
//! registry's load and latency of that incarnation.
struct EndpointTicket {
  std::string id;
  int64_t start_unix_ms = 0;
  uint64_t incarnation_hash = 0;
  int64_t uncached_tokens = 0;  //!< Still to be prefilled by the endpoint.
  Millis sent_at;
  Millis predicted;  //!< Time from the send to the first byte.
  bool answered = false;

  friend bool operator==(const EndpointTicket&,
                         const EndpointTicket&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_TICKET_H_
