#ifndef COORDINATION_VERSION_LAG_H_
#define COORDINATION_VERSION_LAG_H_

#include <algorithm>
#include <cstdint>

#include "state/millis.h"

namespace tamaracktrail {

//! How long this instance has used an older configuration than a peer does. Not
//! thread-safe.
class VersionLag {
 public:
  //! A peer reported the version that it uses.
  void OnReported(Millis now, int64_t version) {
    const bool was_behind = newest_reported_ > own_;
    newest_reported_ = std::max(newest_reported_, version);
    if (!was_behind) {
      behind_since_ = now;
    }
  }

  //! This instance uses `version` from now on. Precondition: it is newer than
  //! the version used before.
  void OnApplied(Millis now, int64_t version) {
    own_ = version;
    behind_since_ = now;
  }

  //! Time since a newer version is known of, or since the last version was
  //! applied if that was later; 0 if no newer version is known.
  Millis Behind(Millis now) const {
    return newest_reported_ > own_ ? now - behind_since_ : Millis(0);
  }

  int64_t newest_reported() const { return newest_reported_; }

 private:
  int64_t own_ = 0;
  int64_t newest_reported_ = 0;
  Millis behind_since_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_VERSION_LAG_H_
