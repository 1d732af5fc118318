#ifndef COORDINATION_ENDPOINT_BOARD_H_
#define COORDINATION_ENDPOINT_BOARD_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/endpoint_load.h"
#include "coordination/endpoint_state.h"
#include "coordination/endpoint_ticket.h"
#include "state/endpoint_entry.h"
#include "state/millis.h"

namespace tamaracktrail {

//! How an attempt at an endpoint ended, as far as its health is concerned.
enum class EndpointOutcome {
  kGood,         //!< A whole answer, also one that reports an own error.
  kOverloaded,   //!< Refused for lack of room.
  kFailed,       //!< An error answer or one that breaks the protocol.
  kLost,         //!< The connection broke before the answer was whole.
  kUnreachable,  //!< No connection could be made.
  kGone,         //!< Another endpoint answers at the address.
};

//! The endpoints that the directory names, with their load and health.
//!
//! Directory entries decide who may get work; outcomes of own requests decide
//! who gets less of it. Not thread-safe.
class EndpointBoard {
 public:
  //! Load of each endpoint by the hash of its incarnation.
  using LoadReport = std::vector<std::pair<uint64_t, EndpointLoad>>;

  //! An entry of the directory. Older entries of the same incarnation, and
  //! entries of older incarnations, change nothing.
  void Apply(Millis now, const EndpointEntry& entry);

  //! The same from a peer's copy of the directory. It may be older than a
  //! removal that is known here, so it brings back no endpoint that is missing:
  //! then false.
  bool ApplyCopy(Millis now, const EndpointEntry& entry);

  //! The directory dropped an endpoint. With `store_in_doubt`, one that did not
  //! announce its leaving is used for a little longer.
  void Remove(Millis now, const std::string& id, bool store_in_doubt);

  //! The directory was listed whole: what is not in `ids` is removed.
  void KeepOnly(Millis now,
                const std::vector<std::string>& ids,
                bool store_in_doubt);

  //! Endpoints of a service that may get new work, in the order of their ids.
  //! Suspended ones are left out unless all are suspended.
  std::vector<const EndpointState*> Usable(Millis now,
                                           const std::string& service) const;

  //! nullptr once the incarnation is no longer known.
  const EndpointState* Find(const std::string& id, int64_t born) const;

  //! nullptr for an unknown hash.
  const EndpointState* FindByHash(uint64_t hash) const;

  //! Whether the incarnation may get new work at this moment.
  bool MayReceive(Millis now, const std::string& id, int64_t born) const;

  //! A request goes to an endpoint, which then has `prompt_tokens` to read and
  //! is predicted to begin its answer after `predicted`.
  EndpointTicket OnSent(Millis now,
                        const EndpointState& state,
                        int64_t prompt_tokens,
                        Millis predicted);
  //! The first byte of an answer came.
  void OnFirstByte(Millis now, EndpointTicket* ticket);
  //! The attempt ended. Precondition: told once for each ticket.
  void OnEnded(Millis now, EndpointTicket* ticket, EndpointOutcome outcome);
  //! The attempt was given up for reasons that say nothing of the endpoint.
  //! Precondition: told once for each ticket, in place of `OnEnded`.
  void OnAbandoned(EndpointTicket* ticket);

  //! Own load, for the others; endpoints without load are left out.
  LoadReport OwnLoad() const;
  //! Replaces what a peer said before.
  void SetPeerLoad(Millis now, uint64_t peer, LoadReport report);
  //! Forgets peers that have said nothing for a while, and endpoints that did
  //! not come back.
  void OnTick(Millis now);

  size_t size() const { return endpoints_.size(); }
  //! Own open requests at all endpoints.
  int64_t open() const;

 private:
  struct PeerLoad {
    Millis at;
    LoadReport report;
  };

  EndpointState* Lookup(const std::string& id, int64_t born);
  void AddPeerLoad(const LoadReport& report, int sign);
  void Erase(const std::string& id);
  static void RemoveDue(const EndpointTicket& ticket, EndpointState* state);

  std::map<std::string, EndpointState> endpoints_;  //!< By id.
  std::unordered_map<uint64_t, std::string> by_hash_;
  //! Newest incarnation that left, by id, so that a late entry cannot bring it
  //! back; with the last sequence.
  std::map<std::string, std::pair<int64_t, int64_t>> left_;
  std::map<uint64_t, PeerLoad> peers_;
};

//! Smoothed failures of an endpoint at `now`; they fade while nothing is sent,
//! so that an endpoint that recovered is tried again. Thread-safe.
double FailuresNow(Millis now, const EndpointState& state);

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_BOARD_H_
