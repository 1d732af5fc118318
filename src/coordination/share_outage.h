#ifndef COORDINATION_SHARE_OUTAGE_H_
#define COORDINATION_SHARE_OUTAGE_H_

#include "coordination/rate_meter.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Tells whether callers had better go to another instance, since this one
//! cannot draw shares of budgets and turns requests away for want of them.
//!
//! Load pattern: callers of one organisation keep coming to an instance that is
//! cut off from the log, or whose link is too crowded for it to follow the log,
//! while the others still have shares. Not thread-safe.
class ShareOutage {
 public:
  //! A request that needs a share got it, or was refused for want of it.
  void OnGranted(Millis now) { granted_.Add(now, 1); }
  void OnRefused(Millis now) { refused_.Add(now, 1); }

  //! Called at least each second; `lost` where the log cannot be followed.
  //! Precondition: `now` does not run backwards.
  void OnTick(Millis now, bool lost);

  //! Lasts until the log can be followed again.
  bool active() const { return active_; }

 private:
  static constexpr Millis kMemory{1000};

  RateMeter granted_{kMemory};
  RateMeter refused_{kMemory};
  Millis lost_since_;  //!< 0 where the log can be followed.
  bool active_ = false;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_SHARE_OUTAGE_H_
