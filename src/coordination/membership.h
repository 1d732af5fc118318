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
//! Addresses come from settings and the platform's list, which only seeds the
//! view; liveness comes from heartbeats. Silence makes a peer suspected and
//! nothing more: only OnExit, which is called on evidence, ends an incarnation.
//! Not thread-safe.
class Membership {
 public:
  struct Options {
    Millis period{400};          //!< Between heartbeats to one peer.
    Millis period_per_peer{20};  //!< Lower bound of the period, times peers.
    Millis suspect_after{2000};
    int64_t suspect_periods = 4;  //!< Or these, where they are longer.
  };

  struct Peer {
    std::string address;
    uint64_t incarnation = 0;  //!< 0 until the first heartbeat.
    std::string data_centre;
    uint64_t sequence = 0;
    std::optional<Millis> heard_at;
    Millis peer_sent_at;              //!< To be echoed.
    std::optional<Millis> echoed_at;  //!< When we sent what the peer echoed.
    //! This clock's time is at least the peer's clock plus this.
    std::optional<Millis> clock_offset;
    Millis offset_at;
    uint64_t config_version = 0;
    bool draining = false;
    bool listed = true;
  };

  Membership(InstanceId self, std::string data_centre, Options options);

  //! Addresses to send heartbeats to, this instance's own left out. Peers that
  //! are heard from stay although the list lacks them.
  void SetSeeds(const std::vector<std::string>& addresses);

  //! Takes in a heartbeat. False where it is old, or from another data centre,
  //! or from an incarnation that has exited. `replaced` is set to an earlier
  //! incarnation at the same address, which has therefore exited.
  bool OnHeartbeat(Millis now,
                   const Heartbeat& heartbeat,
                   std::optional<uint64_t>& replaced);

  //! The incarnation's process has ended.
  void OnExit(uint64_t incarnation);

  //! Lower bound, by this instance's clock, of the time at which the peer's
  //! clock showed `time`; nullopt before the first echo.
  static std::optional<Millis> LocalTime(const Peer& peer, Millis time);

  //! Peers that are due a heartbeat now; each is due again one period later.
  std::vector<std::string> Due(Millis now);

  //! Header of the next heartbeat to `address`.
  Heartbeat MakeHeartbeat(Millis now,
                          const std::string& address,
                          uint64_t config_version,
                          bool draining);

  //! Heard from lately, in both directions, and not draining; without this
  //! instance.
  std::vector<uint64_t> LivePeers(Millis now) const;

  //! Number of peers heard from lately, draining ones included.
  size_t HeardPeers(Millis now) const;

  //! LivePeers and, unless it drains, this instance: the candidates for roles.
  std::vector<uint64_t> Candidates(Millis now, bool draining) const;

  //! Incarnations that have been silent too long.
  std::vector<uint64_t> Suspected(Millis now) const;

  const Peer* ByIncarnation(uint64_t incarnation) const;
  const Peer* ByAddress(const std::string& address) const;
  const std::map<std::string, Peer>& peers() const { return peers_; }
  bool Exited(uint64_t incarnation) const {
    return exited_.contains(incarnation);
  }

 private:
  bool Live(Millis now, const Peer& peer) const;
  Millis Period() const;
  static void TightenOffset(Millis now, const Heartbeat& heartbeat, Peer& peer);

  InstanceId self_;
  std::string data_centre_;
  Options options_;
  uint64_t sequence_ = 0;
  std::map<std::string, Peer> peers_;  //!< By address.
  std::map<std::string, Millis> due_;
  std::map<uint64_t, Millis> exited_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_MEMBERSHIP_H_
