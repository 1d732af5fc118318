#ifndef COORDINATION_FLOW_SPEC_H_
#define COORDINATION_FLOW_SPEC_H_

#include <cstdint>
#include <string>

#include "state/millis.h"

namespace tamaracktrail {

//! Parameters of the request that a request flow handles. Immutable.
struct FlowSpec {
  std::string organisation;
  std::string key;  //!< Idempotency key of the request.
  std::string service;
  std::string content;  //!< Hash of the content, for crash records.
  uint64_t entry = 0;
  //! Identifies the request's reservation, run claim and charge; the same for
  //! all tries.
  uint64_t attempt = 0;
  uint64_t config_version = 0;
  int64_t worst_case = 0;  //!< Tokens to reserve: the most that is charged.
  int64_t fixed_cost = 0;  //!< Tokens of a plain call; 0 to charge the usage.
  bool repeatable = true;
  bool resumable = false;
  int max_tries = 3;  //!< Dispatches to endpoints, including the first.
  Millis reserve_timeout{4500};  //!< Longest wait for the ReserveReply.
  Millis idle_timeout{30000};    //!< Longest gap between endpoint events.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_FLOW_SPEC_H_
