#ifndef COORDINATION_LINK_CONGESTION_H_
#define COORDINATION_LINK_CONGESTION_H_

#include "coordination/rate_meter.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Tells whether the link of this instance is so congested that callers had
//! better reach another one: most attempts end while they connect, whatever the
//! endpoint.
//!
//! Load pattern: a few callers press on one instance behind a narrow link while
//! its neighbours are idle. Requests, answers and all that the log says wait in
//! the same queue. Not thread-safe.
class LinkCongestion {
 public:
  //! An attempt at an endpoint ended; `unconnected`: it did not get as far as
  //! to connect.
  void OnAttempt(Millis now, bool unconnected);

  //! Called at least each second. Precondition: `now` does not run backwards.
  void OnTick(Millis now);

  //! Lasts until few attempts time out, and for some seconds at least.
  bool active() const { return active_; }

 private:
  static constexpr Millis kMemory{1000};

  RateMeter late_{kMemory};
  RateMeter all_{kMemory};
  Millis since_;  //!< Since when it is active.
  bool active_ = false;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_LINK_CONGESTION_H_
