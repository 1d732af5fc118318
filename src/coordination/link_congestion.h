#ifndef COORDINATION_LINK_CONGESTION_H_
#define COORDINATION_LINK_CONGESTION_H_

#include "coordination/rate_meter.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Detects that the link of this instance is so congested that callers should
//! be sent to other instances: most attempts end before they are connected,
//! regardless of the endpoint.
//!
//! This happens when a few callers overload one instance behind a narrow link
//! while the other instances are idle. Requests, answers and reads of the log
//! then wait in the queue of the link. Not thread-safe.
class LinkCongestion {
 public:
  //! An attempt at an endpoint ended. `unconnected`: it ended before it was
  //! connected.
  void OnAttempt(Millis now, bool unconnected);

  //! Updates `active`; to be called at least once per second.
  //! Precondition: `now` is not before that of an earlier call.
  void OnTick(Millis now);

  //! Whether the link is congested. Stays true for at least 3 s, and until
  //! fewer than one attempt per second ends unconnected.
  bool active() const { return active_; }

 private:
  static constexpr Millis kTimeConstant{1000};

  RateMeter unconnected_{kTimeConstant};
  RateMeter attempts_{kTimeConstant};
  Millis active_since_;  //!< Time of the last tick with `active_` false.
  bool active_ = false;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_LINK_CONGESTION_H_
