#ifndef COORDINATION_LEAVING_ENDPOINTS_H_
#define COORDINATION_LEAVING_ENDPOINTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "state/millis.h"

namespace tamaracktrail {

//! Keeps which endpoints announced that they leave: they get nothing new.
//!
//! An announcement holds for an incarnation and is never withdrawn, so it is
//! kept when the directory removes the incarnation, which may list it again.
//! Reports of peers only make an announcement known sooner. Endpoints are named
//! by the hash of their incarnation. Not thread-safe.
class LeavingEndpoints {
 public:
  //! Number of announcements that are kept; the oldest are dropped first.
  static constexpr size_t kMaxKept = 4096;
  //! Number of announcements in a report, at most.
  static constexpr size_t kMaxReported = 64;

  //! An endpoint announced in an answer to this instance that it leaves.
  //! Returns whether that was not known.
  bool OnAnswer(Millis now, uint64_t endpoint);

  //! A peer reported that an endpoint announced it. Returns whether that was
  //! not known.
  bool OnReport(Millis now, uint64_t endpoint);

  bool Contains(uint64_t endpoint) const { return leaving_.contains(endpoint); }

  //! Returns the endpoints that announced it to this instance lately, for its
  //! peers. What peers reported is not passed on.
  std::vector<uint64_t> MakeReport(Millis now) const;

  size_t size() const { return leaving_.size(); }

 private:
  struct Announcement {
    Millis known_since;
    Millis told_at;  //!< Last answer to this instance; 0 for none.
  };

  //! Returns the announcement of an endpoint and whether it is new.
  std::pair<Announcement*, bool> Add(Millis now, uint64_t endpoint);

  std::map<uint64_t, Announcement> leaving_;  //!< By endpoint.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_LEAVING_ENDPOINTS_H_
