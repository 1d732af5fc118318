#ifndef COORDINATION_CRASH_GUARD_H_
#define COORDINATION_CRASH_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "coordination/prompt_part_guard.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Detects requests that crash the endpoints that run them, by content.
//!
//! A lost connection alone is not evidence of a crash: answers are lost for
//! many reasons. It counts as a crash if the endpoint is found to be down
//! within 600 ms, or if connections of requests with other content break in
//! that time. Works on this instance's observations and on peers' reports,
//! without the log; ContentGuard decides by trials on the log. Not thread-safe.
class CrashGuard {
 public:
  //! A crash: hash of the content and hash of the endpoint's incarnation.
  using Crash = std::pair<uint64_t, uint64_t>;

  //! The connection of a request broke after it was sent to an endpoint.
  //! `unanswered_parts` are the hashes of its prompt's shared parts if no part
  //! of the answer had arrived.
  void OnConnectionLost(Millis now,
                        uint64_t content,
                        uint64_t endpoint,
                        std::vector<uint64_t> unanswered_parts = {});

  //! A connection attempt to the endpoint failed, or an idle connection to it
  //! broke.
  void OnEndpointDown(Millis now, uint64_t endpoint);

  //! A peer reported a crash. It shows that the endpoint is down, also for
  //! connections that only this instance has lost.
  void OnReported(Millis now, const Crash& crash);

  //! Whether, at or after `since`, a connection to the endpoint broke in the
  //! middle of an answer or the endpoint was found to be down. Knows about the
  //! last 600 ms.
  bool LostSince(Millis since, uint64_t endpoint) const;

  //! Whether the content must not be sent again.
  bool IsBlocked(uint64_t content) const;
  //! Whether the content has crashed at least one endpoint.
  bool IsSuspect(uint64_t content) const;

  //! Returns the known crashes, for the peers: at most `n`, newest content
  //! first.
  std::vector<Crash> KnownCrashes(size_t n) const;

  //! Drops expired state.
  void OnTick(Millis now);

  //! Prompt parts that the crashes implicate.
  PromptPartGuard& parts() { return parts_; }
  const PromptPartGuard& parts() const { return parts_; }

 private:
  struct LostConnection {
    Millis at;
    uint64_t content = 0;
    std::vector<uint64_t> unanswered_parts;
  };
  struct Content {
    std::set<uint64_t> endpoints;
    Millis last_crash;
  };

  //! Returns whether the crash was not known yet.
  bool AddCrash(Millis now, const Crash& crash);

  std::map<uint64_t, std::vector<LostConnection>>
      lost_connections_;                  //!< By endpoint.
  std::map<uint64_t, Millis> last_down_;  //!< By endpoint.
  std::map<uint64_t, Content> contents_;
  PromptPartGuard parts_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_CRASH_GUARD_H_
