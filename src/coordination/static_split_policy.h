#ifndef COORDINATION_STATIC_SPLIT_POLICY_H_
#define COORDINATION_STATIC_SPLIT_POLICY_H_

#include <algorithm>
#include <cstdint>

#include "coordination/stock_view.h"

namespace tamaracktrail {

//! Baseline: each data centre draws an equal part of all that is prepaid and
//! gives nothing back. Immutable.
class StaticSplitPolicy {
 public:
  int64_t Draw(const StockView& view) const {
    const int64_t part = view.prepaid / view.data_centres - view.drawn;
    return std::clamp<int64_t>(part, 0, view.undrawn);
  }
  int64_t Surplus(const StockView&) const { return 0; }
  int64_t Yield(const StockView&, int64_t) const { return 0; }
  bool asks_others() const { return false; }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_STATIC_SPLIT_POLICY_H_
