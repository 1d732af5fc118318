#ifndef COORDINATION_LINK_LOAD_H_
#define COORDINATION_LINK_LOAD_H_

#include <cstdint>

namespace tamaracktrail {

//! How much of its link an instance uses, for its peers.
struct LinkLoad {
  float width_mbps = 0;  //!< 0 if unknown.
  //! Of the direction that is used more.
  float use_mbps = 0;
  bool diverts = false;  //!< The instance sends its callers to other ones.

  friend bool operator==(const LinkLoad&, const LinkLoad&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(width_mbps, use_mbps, diverts);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_LINK_LOAD_H_
