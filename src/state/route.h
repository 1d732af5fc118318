#ifndef STATE_ROUTE_H_
#define STATE_ROUTE_H_

#include <string>
#include <vector>

#include "state/call_kind.h"
#include "state/millis.h"

namespace tamaracktrail {

//! One route of a configuration. Immutable once the configuration is built.
struct Route {
  //! One service of a split route.
  struct Part {
    std::string service;
    int weight = 1;

    friend bool operator==(const Part&, const Part&) = default;
  };

  std::string name;
  std::string host;
  std::string path_prefix;  //!< Begins and ends with a slash.
  CallKind kind = CallKind::kUnsafe;
  bool resumable = false;  //!< A stream may go on at another endpoint.
  bool is_public = false;  //!< Needs no key.
  int priority = 0;        //!< 0 is the most urgent.
  int max_attempts = 1;    //!< Endpoints that one request may be sent to.
  Millis timeout;          //!< Longest time until the answer is complete.
  Millis objective;        //!< To the answer, of streams to the first event.
  Millis gap_objective;    //!< Longest pause between two events of a stream.
  Millis patience;         //!< Without an event for longer, callers leave.
  std::vector<Part> split;

  //! Whether a second run does no harm.
  bool repeatable() const {
    return kind == CallKind::kSafe || (kind == CallKind::kStream && resumable);
  }

  friend bool operator==(const Route&, const Route&) = default;
};

}  // namespace tamaracktrail

#endif  // STATE_ROUTE_H_
