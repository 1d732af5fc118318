#ifndef COORDINATION_DRAW_EACH_POLICY_H_
#define COORDINATION_DRAW_EACH_POLICY_H_

#include <algorithm>
#include <cstdint>

#include "coordination/stock_view.h"

namespace tamaracktrail {

//! Baseline: each request's tokens are drawn through the log, and what it did
//! not use goes back at once. Immutable.
class DrawEachPolicy {
 public:
  int64_t Draw(const StockView& view) const {
    return std::clamp<int64_t>(view.queued - view.available, 0, view.undrawn);
  }
  int64_t Surplus(const StockView& view) const {
    return std::max<int64_t>(view.available - view.queued, 0);
  }
  int64_t Yield(const StockView& view, int64_t) const { return Surplus(view); }
  bool asks_others() const { return false; }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_DRAW_EACH_POLICY_H_
