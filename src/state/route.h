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
  int priority = 0;        //!< 0 is the most urgent.
  int max_attempts = 1;    //!< Largest number of endpoints tried per request.
  Millis timeout;          //!< Longest time to the complete answer.
  //! Target of the time to the answer or to a stream's first event.
  Millis latency_objective;
  //! Target of the longest gap between two events of a stream.
  Millis gap_objective;
  Millis event_timeout;  //!< Gap between events after which callers disconnect.
  std::vector<WeightedService> weighted_services;
  //! Regions whose endpoints may get its requests; empty: all.
  std::vector<std::string> allowed_regions;

  //! Whether a request may safely run more than once.
  bool repeatable() const {
    return kind == CallKind::kSafe || (kind == CallKind::kStream && resumable);
  }

  friend bool operator==(const Route&, const Route&) = default;
};

}  // namespace tamaracktrail

#endif  // STATE_ROUTE_H_
