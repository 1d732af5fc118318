#ifndef COORDINATION_STATIC_SPLIT_POLICY_H_
#define COORDINATION_STATIC_SPLIT_POLICY_H_

#include <algorithm>
#include <cstdint>

#include "coordination/share_view.h"

namespace tamaracktrail {

//! Baseline for comparisons: each data centre draws an equal part of the
//! prepaid total and returns nothing. Immutable.
class StaticSplitPolicy {
 public:
  int64_t Draw(const ShareView& view) const {
    const int64_t remaining = view.prepaid / view.data_centres - view.drawn;
    return std::clamp<int64_t>(remaining, 0, view.undrawn);
  }
  int64_t Surplus(const ShareView&) const { return 0; }
  int64_t Yield(const ShareView&, int64_t) const { return 0; }
  bool requests_from_others() const { return false; }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_STATIC_SPLIT_POLICY_H_
