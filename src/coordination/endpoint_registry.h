#ifndef COORDINATION_ENDPOINT_REGISTRY_H_
#define COORDINATION_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/allowed_regions.h"
#include "coordination/endpoint_load.h"
#include "coordination/endpoint_notices.h"
#include "coordination/endpoint_state.h"
#include "coordination/endpoint_ticket.h"
#include "coordination/evacuated_data_centres.h"
#include "state/endpoint_entry.h"
#include "state/millis.h"

namespace tamaracktrail {

//! How an attempt at an endpoint counts for the endpoint's health;
//! AttemptOutcome says what its end means for the request.
enum class EndpointOutcome {
  kAnswered,     //!< A complete answer, also a client error.
  kOverloaded,   //!< Refused for lack of capacity.
  kFailed,       //!< An error answer of the endpoint.
  kLost,         //!< Connection lost, protocol violated or timed out.
  kUnreachable,  //!< No connection could be made.
  kMisdirected,  //!< Another endpoint answers at the address.
};

//! The endpoints that the directory lists, with their load and health.
//!
//! Directory entries decide which endpoints may receive requests; outcomes of
//! this instance's own requests decide which receive fewer. Not thread-safe.
class EndpointRegistry {
 public:
  //! Load of each endpoint, by the hash of its incarnation.
  using LoadReport = std::vector<std::pair<uint64_t, EndpointLoad>>;

  //! Applies an entry of the directory. Ignores older entries of the same
  //! incarnation and entries of older incarnations: returns false for one.
  bool Apply(Millis now, const EndpointEntry& entry);

  //! Applies an entry from a peer's copy of the directory. The copy may be
  //! older than a removal that is known here, so it does not restore an
  //! endpoint that was removed or is missing. Returns whether it was applied.
  bool ApplyFromPeer(Millis now, const EndpointEntry& entry);

  //! The directory no longer lists an endpoint. With `store_in_doubt`, one that
  //! was not draining may receive requests for another 1.4 s.
  void Remove(Millis now, const std::string& id, bool store_in_doubt);

  //! The directory was listed completely: removes the endpoints that are not in
  //! `ids`, as `Remove` does.
  void KeepOnly(Millis now,
                const std::vector<std::string>& ids,
                bool store_in_doubt);

  //! Returns the endpoints of a service that may receive requests and are in
  //! an allowed region, ordered by id. Suspended ones are omitted unless all
  //! are suspended, and those whose limit is used up, that asked for nothing or
  //! that leave always.
  std::vector<const EndpointState*> Usable(
      Millis now,
      const std::string& service,
      const AllowedRegions& allowed = {}) const;

  //! Whether any endpoint of a service in an allowed region may receive
  //! requests, be it suspended or restricted.
  bool HasAny(Millis now,
              const std::string& service,
              const AllowedRegions& allowed = {}) const;

  //! Sets the region of each data centre; data centres without one are in no
  //! region.
  void SetRegions(std::map<std::string, std::string> regions) {
    regions_ = std::move(regions);
  }
  //! Whether the endpoint is in an allowed region.
  bool IsAllowed(const AllowedRegions& allowed,
                 const EndpointState& state) const;

  //! Returns nullptr if the incarnation is not or no longer known.
  const EndpointState* Find(const std::string& id, int64_t start_unix_ms) const;

  //! Returns nullptr for an unknown hash.
  const EndpointState* FindByHash(uint64_t hash) const;

  //! Whether the incarnation may receive requests now.
  bool MayReceive(Millis now,
                  const std::string& id,
                  int64_t start_unix_ms) const;

  //! A request is sent to an endpoint, which then has `uncached_tokens` to
  //! prefill and is predicted to begin its answer after `predicted`.
  EndpointTicket OnSent(Millis now,
                        const EndpointState& chosen,
                        int64_t uncached_tokens,
                        Millis predicted);
  //! The first byte of the answer arrived.
  void OnFirstByte(Millis now, EndpointTicket* ticket);
  //! The attempt ended. Precondition: called once for each ticket.
  void OnEnded(Millis now, EndpointTicket* ticket, EndpointOutcome outcome);
  //! The attempt was cancelled for a reason unrelated to the endpoint's health.
  //! Precondition: called once for each ticket, instead of `OnEnded`.
  void OnAbandoned(EndpointTicket* ticket);

  //! Returns this instance's load, for its peers. Omits endpoints without load.
  LoadReport OwnLoad() const;
  //! Replaces the previous report of a peer.
  void SetPeerLoad(Millis now, uint64_t peer, LoadReport report);
  //! Drops load reports older than 600 ms, and endpoints that have been missing
  //! for more than 30 s.
  void OnTick(Millis now);

  //! A peer reported that an endpoint, which may be unknown here, leaves.
  //! Returns whether that was not known of a known endpoint.
  bool OnReportedLeaving(Millis now, uint64_t endpoint);
  //! Number of known endpoints that announced that they leave.
  size_t CountLeaving() const;

  //! A peer reported the limit of an endpoint, which may be unknown here.
  EndpointLimits::Change OnReportedLimit(Millis now,
                                         const ReportedLimit& reported);

  EndpointNotices& notices() { return notices_; }
  const EndpointNotices& notices() const { return notices_; }

  //! Data centres whose endpoints may receive nothing.
  EvacuatedDataCentres& evacuated() { return evacuated_; }
  const EvacuatedDataCentres& evacuated() const { return evacuated_; }

  //! Endpoints in a data centre, also those that may receive nothing.
  int64_t CountIn(const std::string& data_centre) const;

  //! What the limits, waits and cold times of a service's endpoints leave to
  //! this instance.
  struct Room {
    bool all_restricted = false;  //!< There are endpoints, and none takes all.
    double per_second = 0;        //!< Requests that this instance may send.
    Millis next;                  //!< Time until it may send one.
  };
  Room RoomOf(Millis now,
              const std::string& service,
              const AllowedRegions& allowed = {}) const;

  size_t size() const { return endpoints_.size(); }
  //! Open requests of this instance at all endpoints.
  int64_t open() const;

 private:
  struct PeerLoad {
    Millis reported_at;
    LoadReport report;
  };

  EndpointState* FindMutable(const std::string& id, int64_t start_unix_ms);
  //! Adds a report to the peer load of its endpoints (`sign` 1), or subtracts
  //! the report from it (`sign` -1).
  void AddPeerLoad(const LoadReport& report, int sign);
  void Erase(const std::string& id);
  static void RemoveFirstByteDue(const EndpointTicket& ticket,
                                 EndpointState* state);

  std::map<std::string, EndpointState> endpoints_;  //!< By id.
  std::unordered_map<uint64_t, std::string> by_hash_;
  //! Newest removed incarnation with its last sequence, by id, so that a
  //! delayed entry cannot restore it.
  std::map<std::string, std::pair<int64_t, int64_t>> removed_;
  std::map<uint64_t, PeerLoad> peers_;
  EndpointNotices notices_;
  EvacuatedDataCentres evacuated_;
  std::map<std::string, std::string> regions_;  //!< By data centre.
};

//! Returns the smoothed failure rate of an endpoint at `now`. It decays while
//! nothing is sent, so that an endpoint that recovered is tried again.
//! Thread-safe.
double DecayedFailureRate(Millis now, const EndpointState& state);

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_REGISTRY_H_
