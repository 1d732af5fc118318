#ifndef COORDINATION_SHARE_OUTAGE_H_
#define COORDINATION_SHARE_OUTAGE_H_

#include "coordination/rate_meter.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Decides whether callers are sent to other instances because this one can't
//! raise its shares of budgets and refuses requests for insufficient shares.
//!
//! Load pattern: callers of one organisation keep sending to an instance that
//! has no connection to the log, or whose link is too congested to keep up with
//! the log, while other instances still have shares. Not thread-safe.
class ShareOutage {
 public:
  //! A request that needs a share got one, or was refused because the share was
  //! insufficient.
  void OnGranted(Millis now) { granted_.Add(now, 1); }
  void OnRefused(Millis now) { refused_.Add(now, 1); }

  //! Updates the decision; to be called at least once per second. `lost`: the
  //! log can't be read up to its end.
  //! Precondition: `now` is not before that of an earlier call.
  void OnTick(Millis now, bool lost);

  //! Whether callers are sent to other instances. Once true, it stays so until
  //! the log can be read up to its end again.
  bool active() const { return active_; }

 private:
  static constexpr Millis kTimeConstant{1000};

  RateMeter granted_{kTimeConstant};
  RateMeter refused_{kTimeConstant};
  Millis lost_since_;  //!< 0 while the log is not lost.
  bool active_ = false;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_SHARE_OUTAGE_H_
