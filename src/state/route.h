#ifndef STATE_ROUTE_H_
#define STATE_ROUTE_H_

#include <string>
#include <vector>

#include "state/call_kind.h"
#include "state/millis.h"

namespace tamaracktrail {

//! One route of a configuration. Not modified after the configuration is built.
struct Route {
  //! One of the services among which the route divides its requests.
  struct WeightedService {
    std::string service;
    int weight = 1;

    friend bool operator==(const WeightedService&,
                           const WeightedService&) = default;
  };

  std::string name;
  std::string host;
  std::string path_prefix;  //!< Starts and ends with a slash.
  CallKind kind = CallKind::kUnsafe;
  bool resumable = false;  //!< Another endpoint may continue a stream.
  bool is_public = false;  //!< Requires no API key.
  int priority = 0;        //!< 0 is the highest.
  int max_attempts = 1;    //!< Largest number of endpoints tried per request.
  Millis timeout;          //!< Longest time to the complete answer.
  //! Target time to the complete answer or to a stream's first event.
  Millis latency_objective;
  Millis gap_objective;  //!< Target for the gap between two events of a stream.
  //! Longest gap between events before callers disconnect.
  Millis event_timeout;
  std::vector<WeightedService> weighted_services;

  //! Whether a request may safely run more than once.
  bool repeatable() const {
    return kind == CallKind::kSafe || (kind == CallKind::kStream && resumable);
  }

  friend bool operator==(const Route&, const Route&) = default;
};

}  // namespace tamaracktrail

#endif  // STATE_ROUTE_H_
