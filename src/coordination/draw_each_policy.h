#ifndef COORDINATION_DRAW_EACH_POLICY_H_
#define COORDINATION_DRAW_EACH_POLICY_H_

#include <algorithm>
#include <cstdint>

#include "coordination/share_view.h"

namespace tamaracktrail {

//! Baseline for comparisons: holds nothing in advance, draws only what queued
//! requests lack and returns all idle tokens at once. Immutable.
class DrawEachPolicy {
 public:
  int64_t Draw(const ShareView& view) const {
    return std::clamp<int64_t>(view.queued_tokens - view.available, 0,
                               view.undrawn);
  }
  int64_t Surplus(const ShareView& view) const {
    return std::max<int64_t>(view.available - view.queued_tokens, 0);
  }
  int64_t Yield(const ShareView& view, int64_t) const { return Surplus(view); }
  bool requests_from_others() const { return false; }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_DRAW_EACH_POLICY_H_
