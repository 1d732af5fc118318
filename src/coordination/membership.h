#ifndef COORDINATION_MEMBERSHIP_H_
#define COORDINATION_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/heartbeat.h"
#include "state/instance_id.h"
#include "state/millis.h"

namespace tamaracktrail {

//! This instance's view of the instances of its data centre.
//!
//! Settings and the platform's list of instances only supply seed addresses to
//! send heartbeats to; liveness comes from heartbeats. A peer without recent
//! heartbeats is suspected, but not regarded as exited. An incarnation has
//! exited after OnExit, which is called on evidence, or after a heartbeat of
//! another incarnation from its address. Not thread-safe.
class Membership {
 public:
  struct Options {
    Millis heartbeat_period{400};  //!< Between heartbeats to one peer.
    //! The period is at least this, multiplied by the number of peers.
    Millis min_period_per_peer{20};
    //! Time without heartbeats in one direction until a peer is suspected.
    Millis suspect_after{2000};
    //! A peer is not suspected before this number of heartbeat periods.
    int64_t min_suspect_periods = 4;
  };

  struct Peer {
    std::string address;
    uint64_t incarnation = 0;  //!< 0 until the first heartbeat.
    std::string data_centre;
    uint64_t sequence = 0;
    std::optional<Millis> heard_at;
    //! Send time of the peer's latest heartbeat by the peer's clock; echoed to
    //! the peer.
    Millis peer_sent_at;
    //! When this instance sent the heartbeat that the peer echoed last.
    std::optional<Millis> echoed_at;
    //! Lower bound of this instance's clock minus the peer's clock.
    std::optional<Millis> min_clock_offset;
    Millis offset_updated_at;
    uint64_t config_version = 0;
    bool draining = false;
    bool listed = true;  //!< False if the latest seeds lack it.
  };

  Membership(InstanceId self, std::string data_centre, Options options);

  //! Sets the addresses to send heartbeats to; this instance's own is ignored.
  //! Live peers stay even if the list lacks them.
  void SetSeeds(const std::vector<std::string>& addresses);

  //! Applies a heartbeat. Returns false if its sequence number is not above the
  //! last one's, or if it is from this instance itself, from another data
  //! centre or from an incarnation that has exited. Sets `replaced` to the
  //! previous incarnation at the same address, which has therefore exited.
  bool OnHeartbeat(Millis now,
                   const Heartbeat& heartbeat,
                   std::optional<uint64_t>& replaced);

  //! Reports that the process of `incarnation` has ended.
  void OnExit(uint64_t incarnation);

  //! Earliest time on this instance's clock at which the peer's clock can have
  //! shown `time`; nullopt before the first echo.
  static std::optional<Millis> EarliestLocalTime(const Peer& peer, Millis time);

  //! Addresses to which a heartbeat is due now. Each is due again after
  //! 3/4 to 5/4 of the heartbeat period.
  std::vector<std::string> TakeDueAddresses(Millis now);

  //! The next heartbeat to `address`, without probe reports.
  Heartbeat MakeHeartbeat(Millis now,
                          const std::string& address,
                          uint64_t config_version,
                          bool excluded_from_roles);

  //! Incarnations of the live peers that are not draining, without this
  //! instance. A peer is live if heartbeats arrived in both directions within
  //! the suspicion timeout.
  std::vector<uint64_t> LivePeers(Millis now) const;

  //! Number of live peers, including draining ones.
  size_t CountLivePeers(Millis now) const;

  //! Candidates for roles: LivePeers and, unless `excluded_from_roles`, this
  //! instance.
  std::vector<uint64_t> Candidates(Millis now, bool excluded_from_roles) const;

  //! Incarnations of known peers that are not live.
  std::vector<uint64_t> Suspected(Millis now) const;

  const Peer* ByIncarnation(uint64_t incarnation) const;
  const Peer* ByAddress(const std::string& address) const;
  const std::map<std::string, Peer>& peers() const { return peers_; }
  bool Exited(uint64_t incarnation) const {
    return exited_.contains(incarnation);
  }

 private:
  //! Whether heartbeats arrived in both directions within the suspicion
  //! timeout.
  bool IsLive(Millis now, const Peer& peer) const;
  Millis HeartbeatPeriod() const;
  static void UpdateClockOffset(Millis now,
                                const Heartbeat& heartbeat,
                                Peer& peer);

  InstanceId self_;
  std::string data_centre_;
  Options options_;
  uint64_t sequence_ = 0;
  std::map<std::string, Peer> peers_;                //!< By address.
  std::map<std::string, Millis> next_heartbeat_at_;  //!< By address.
  std::map<uint64_t, Millis> exited_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_MEMBERSHIP_H_
