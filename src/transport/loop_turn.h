#ifndef TRANSPORT_LOOP_TURN_H_
#define TRANSPORT_LOOP_TURN_H_

#include <string>

#include "state/millis.h"

namespace tamaracktrail {

//! One call of a handler, a timer or a deferred callback by EventLoop.
struct LoopTurn {
  Millis duration;
  std::string source;   //!< What it worked on: "answer", "caller", "timer", ...
  std::string peer;     //!< Address of the peer; empty if there is none.
  std::string request;  //!< Id of the request; empty if there is none.

  friend bool operator==(const LoopTurn&, const LoopTurn&) = default;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_LOOP_TURN_H_
