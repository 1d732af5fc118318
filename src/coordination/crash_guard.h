#ifndef COORDINATION_CRASH_GUARD_H_
#define COORDINATION_CRASH_GUARD_H_

#include <cstdint>
#include <map>
#include <vector>

#include "coordination/crash_suspects.h"
#include "coordination/suspect_crash.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Recognizes crashes of endpoints by lost connections, and keeps what the
//! requests that had no answer by then have in common.
//!
//! A lost connection alone is not evidence of a crash: answers are lost for
//! many reasons. It counts as a crash if the endpoint is found to be down
//! within 600 ms, or if connections of requests with other content break in
//! that time. Works on this instance's observations and on peers' reports,
//! without the log; ContentGuard decides by trials on the log. Not thread-safe.
class CrashGuard {
 public:
  //! A request that was open at an endpoint.
  struct OpenRequest {
    uint64_t content = 0;         //!< Hash of the whole content.
    std::vector<uint64_t> parts;  //!< Hashes of the shared parts' ids.
    bool answered = false;        //!< Had an answer, so it is not the cause.
  };

  //! `block_spread`: see CrashSuspects.
  explicit CrashGuard(double block_spread = 0) : suspects_(block_spread) {}

  //! The connection of a request broke after it was sent to an endpoint.
  void OnConnectionLost(Millis now, uint64_t endpoint, OpenRequest request);

  //! A connection attempt to the endpoint failed, or an idle connection to it
  //! broke.
  void OnEndpointDown(Millis now, uint64_t endpoint);

  //! A peer reported crashes. They show that the endpoints are down, also for
  //! connections that only this instance has lost.
  void OnReport(Millis now, const std::vector<SuspectCrash>& crashes);

  //! An instance's entry in the topic of crashes was read; see
  //! CrashSuspects::OnEntryRead.
  void OnEntryRead(Millis now,
                   const std::vector<SuspectCrash>& crashes,
                   bool is_own);

  //! Whether, at or after `since`, a connection to the endpoint broke in the
  //! middle of an answer or the endpoint was found to be down. Knows about the
  //! last 600 ms.
  bool LostSince(Millis since, uint64_t endpoint) const;

  //! Drops expired state.
  void OnTick(Millis now);

  //! What the crashes implicate.
  CrashSuspects& suspects() { return suspects_; }
  const CrashSuspects& suspects() const { return suspects_; }

 private:
  struct LostConnection {
    Millis at;
    OpenRequest request;
  };

  //! Recent crashes of others show that the endpoints are down.
  void ConfirmLostConnections(Millis now,
                              const std::vector<SuspectCrash>& crashes);

  std::map<uint64_t, std::vector<LostConnection>>
      lost_connections_;                  //!< By endpoint.
  std::map<uint64_t, Millis> last_down_;  //!< By endpoint.
  CrashSuspects suspects_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_CRASH_GUARD_H_
