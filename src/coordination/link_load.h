#ifndef COORDINATION_LINK_LOAD_H_
#define COORDINATION_LINK_LOAD_H_

#include <cstdint>

namespace tamaracktrail {

//! How much of its link an instance uses, for its peers.
struct LinkLoad {
  float width_mbps = 0;  //!< 0 if unknown.
  //! Of the direction that is used more.
  float use_mbps = 0;
  //! The organisation that uses the link most, by the hash of its name, and its
  //! part of the use. While callers are diverted: the one that was the cause.
  uint64_t organisation = 0;
  float organisation_mbps = 0;
  //! Time for which the instance has sent its callers to others; -1 if it
  //! doesn't.
  int32_t diverting_ms = -1;

  bool diverts() const { return diverting_ms >= 0; }

  friend bool operator==(const LinkLoad&, const LinkLoad&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(width_mbps, use_mbps, organisation, organisation_mbps,
            diverting_ms);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_LINK_LOAD_H_
