#ifndef COORDINATION_ENDPOINT_TICKET_H_
#define COORDINATION_ENDPOINT_TICKET_H_

#include <cstdint>
#include <string>

#include "state/millis.h"

namespace tamaracktrail {

//! Stands for one request that was sent to an endpoint, until it has ended.
struct EndpointTicket {
  std::string id;
  int64_t born = 0;
  uint64_t hash = 0;
  int64_t prompt_tokens = 0;  //!< Still to be read by the endpoint.
  Millis sent_at;
  Millis predicted;  //!< From the send to the first byte of the answer.
  bool answered = false;

  friend bool operator==(const EndpointTicket&,
                         const EndpointTicket&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_TICKET_H_
