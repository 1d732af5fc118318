#ifndef COORDINATION_CALLER_DIVERSION_H_
#define COORDINATION_CALLER_DIVERSION_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "coordination/link_load.h"
#include "coordination/rate_meter.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Decides whether this instance sends its callers to other instances because
//! they fill its link.
//!
//! Load pattern: the load balancer maps a caller with a large part of a data
//! centre's load to one instance, whose link is too narrow, while wider ones
//! are idle. The balancer ignores widths, so a diverted caller may come to the
//! next narrow link. An instance therefore remains diverted until the load is
//! gone, and the next instance recognises the load by its organisation sooner
//! than a first one could. Open connections stay as far as the link carries
//! them, so that the load spreads over several narrow links if there is no wide
//! one. Not thread-safe.
class CallerDiversion {
 public:
  //! `width_mbps`: of the link in each direction; 0 if unknown, which disables
  //! the diversion.
  explicit CallerDiversion(double width_mbps) : width_mbps_(width_mbps) {}

  //! Sets the number of instances in this data centre, including this one.
  void SetInstances(size_t n) { instances_ = n; }

  //! Bytes were received and sent since the last call. Precondition: `now` is
  //! not before that of an earlier call.
  void OnTraffic(Millis now, uint64_t received, uint64_t sent);

  //! Bytes of a request or an answer of an organisation, by the hash of its
  //! name, were relayed.
  void OnRelayed(Millis now, uint64_t organisation, uint64_t bytes);

  //! A peer in this data centre reported its link.
  void OnReport(Millis now, uint64_t peer, const LinkLoad& load);

  //! Updates `active`; to be called several times per second.
  void OnTick(Millis now);

  //! Whether callers are sent to other instances.
  bool active() const { return active_; }

  //! Fraction of the connections to be closed after their answers, so that
  //! their callers connect to other instances.
  double CloseFraction(Millis now) const;

  //! Returns the load of the own link, for the peers.
  LinkLoad MakeReport(Millis now) const;

  //! Number of peers that divert their callers, by reports that are still
  //! valid.
  size_t CountDiverting(Millis now) const;

  //! Mbit/s of the direction that is used more, over the last second.
  double UseMbps(Millis now) const;

 private:
  struct Peer {
    Millis reported_at;
    LinkLoad load;
  };
  //! An organisation and its part of the link's use.
  struct Part {
    uint64_t organisation = 0;
    double mbps = 0;
  };

  static constexpr Millis kTimeConstant{1000};
  static constexpr Millis kShortTimeConstant{300};

  bool IsCurrent(Millis now, const Peer& peer) const;
  //! Mbit/s of the direction that is used more, over the last 0.3 s.
  double RecentUseMbps(Millis now) const;
  //! Returns the organisation that uses the link most, over the last 0.3 s.
  Part LargestPart(Millis now) const;
  //! Whether the load exceeds what this link should carry.
  bool IsOverloaded(Millis now) const;
  //! Whether one more instance may divert its callers.
  bool HasRoom(Millis now) const;
  //! Whether the load that was the cause would come back: the instances still
  //! carry much of it, or a later diversion sends it on.
  bool LoadRemains(Millis now) const;

  double width_mbps_;
  size_t instances_ = 1;
  RateMeter received_{kTimeConstant};
  RateMeter sent_{kTimeConstant};
  RateMeter received_lately_{kShortTimeConstant};
  RateMeter sent_lately_{kShortTimeConstant};
  std::map<uint64_t, RateMeter> relayed_;  //!< By organisation.
  std::map<uint64_t, Peer> peers_;
  Millis active_since_;
  Millis load_seen_at_;  //!< When LoadRemains held last.
  uint64_t cause_ = 0;   //!< Organisation whose load is diverted.
  bool active_ = false;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_CALLER_DIVERSION_H_
