#ifndef COORDINATION_CRASH_GUARD_H_
#define COORDINATION_CRASH_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "state/millis.h"

namespace tamaracktrail {

//! Recognizes requests that crash the endpoints that run them, by content.
//!
//! A lost connection alone tells little: answers are lost for many reasons. It
//! counts as a crash where the endpoint itself is seen to be down at about the
//! same time. Not thread-safe.
class CrashGuard {
 public:
  //! A crash: hash of the content and hash of the endpoint's incarnation.
  using Crash = std::pair<uint64_t, uint64_t>;

  //! The connection of a request broke while an endpoint had it.
  void OnBroken(Millis now, uint64_t content, uint64_t endpoint);

  //! The endpoint refuses connections, or an idle connection to it broke.
  void OnEndpointDown(Millis now, uint64_t endpoint);

  //! A peer knows of a crash.
  void OnReported(Millis now, const Crash& crash);

  //! Whether the content must not be sent any more.
  bool IsBlocked(uint64_t content) const;
  //! Whether it has crashed an endpoint at all.
  bool IsSuspect(uint64_t content) const;

  //! Crashes known here, for the peers; at most `n`, newest first.
  std::vector<Crash> Known(size_t n) const;

  //! Forgets what is old.
  void OnTick(Millis now);

 private:
  struct Broken {
    Millis at;
    uint64_t content = 0;
  };
  struct Content {
    std::set<uint64_t> endpoints;
    Millis last;
  };

  void Count(Millis now, const Crash& crash);

  std::map<uint64_t, std::vector<Broken>> broken_;  //!< By endpoint.
  std::map<uint64_t, Millis> down_;                 //!< By endpoint.
  std::map<uint64_t, Content> contents_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_CRASH_GUARD_H_
