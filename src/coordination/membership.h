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
//! Settings and the platform's list only supply seed addresses; liveness comes
//! from heartbeats. A peer without recent heartbeats becomes suspected and no
//! more than that: only OnExit, which is called on evidence, ends an
//! incarnation. Not thread-safe.
class Membership {
 public:
  struct Options {
    Millis heartbeat_period{400};  //!< Between heartbeats to one peer.
    //! The period is at least this, multiplied by the number of peers.
    Millis min_period_per_peer{20};
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
    Millis peer_sent_at;  //!< Of its latest heartbeat, to be echoed.
    //! When this instance sent the heartbeat that the peer echoed last.
    std::optional<Millis> echoed_at;
    //! Lower bound of this instance's clock minus the peer's clock.
    std::optional<Millis> min_clock_offset;
    Millis offset_updated_at;
    uint64_t config_version = 0;
    bool draining = false;
    bool listed = true;
  };

  Membership(InstanceId self, std::string data_centre, Options options);

  //! Sets the addresses to send heartbeats to; this instance's own is ignored.
  //! Live peers stay even if the list lacks them.
  void SetSeeds(const std::vector<std::string>& addresses);

  //! Applies a heartbeat. Returns false if it is older than the last one, from
  //! this instance itself, from another data centre or from an incarnation that
  //! has exited. Sets `replaced` to an earlier incarnation at the same address,
  //! which has therefore exited.
  bool OnHeartbeat(Millis now,
                   const Heartbeat& heartbeat,
                   std::optional<uint64_t>& replaced);

  //! Reports that the process of `incarnation` has ended.
  void OnExit(uint64_t incarnation);

  //! Earliest time on this instance's clock at which the peer's clock can have
  //! shown `time`; nullopt before the first echo.
  static std::optional<Millis> EarliestLocalTime(const Peer& peer, Millis time);

  //! Addresses to which a heartbeat is due now. Each is due again about one
  //! period later.
  std::vector<std::string> TakeDueAddresses(Millis now);

  //! The next heartbeat to `address`, without endpoint reports.
  Heartbeat MakeHeartbeat(Millis now,
                          const std::string& address,
                          uint64_t config_version,
                          bool draining);

  //! Incarnations of the live peers that are not draining, without this
  //! instance. A peer is live if heartbeats arrived in both directions within
  //! the suspicion timeout.
  std::vector<uint64_t> LivePeers(Millis now) const;

  //! Number of live peers, including draining ones.
  size_t CountHeardPeers(Millis now) const;

  //! Candidates for roles: LivePeers and, unless `draining`, this instance.
  std::vector<uint64_t> Candidates(Millis now, bool draining) const;

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
