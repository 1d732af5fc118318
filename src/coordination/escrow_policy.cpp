#include "coordination/escrow_policy.h"

#include <algorithm>

namespace tamaracktrail {

namespace {

constexpr int64_t kStockedRequests = 4;  //!< Least stock, in worst cases.
constexpr int64_t kSurplusFactor = 2;  //!< Stock above target x this goes back.
constexpr double kYieldCoverSeconds = 1;
// Drawing starts below this part of the target, in fifths.
constexpr int64_t kRefillNumerator = 4;
constexpr int64_t kRefillDenominator = 5;

}  // namespace

int64_t EscrowPolicy::Target(const StockView& view) const {
  const int64_t even_split = (view.undrawn + view.share) / view.data_centres;
  const auto limit =
      static_cast<int64_t>(hold_ * static_cast<double>(even_split));
  // Less than one request's worst case would lie idle here.
  if (limit < view.largest) {
    return 0;
  }
  const auto demand =
      static_cast<int64_t>(view.demand * static_cast<double>(cover_.count()) /
                           static_cast<double>(kSecond.count()));
  return std::min(limit, std::max(demand, kStockedRequests * view.largest));
}

int64_t EscrowPolicy::Draw(const StockView& view) const {
  const int64_t target = Target(view);
  const bool stocked =
      view.available * kRefillDenominator >= target * kRefillNumerator;
  if (view.queued <= view.available && stocked) {
    return 0;
  }
  const int64_t missing = view.queued + target - view.available;
  return std::clamp<int64_t>(missing, 0, view.undrawn);
}

int64_t EscrowPolicy::Surplus(const StockView& view) const {
  const int64_t target = Target(view);
  const int64_t idle = view.available - view.queued;
  if (target == 0) {
    // Near the budget's end: a rest that serves no request goes back.
    return idle < view.largest ? std::max<int64_t>(idle, 0) : 0;
  }
  const int64_t excess = idle - kSurplusFactor * target;
  return excess > view.largest ? excess + target : 0;
}

int64_t EscrowPolicy::Yield(const StockView& view, int64_t wanted) const {
  // A rest that serves few requests here may serve one elsewhere.
  const bool scarce = view.available < kStockedRequests * view.largest;
  const auto keep =
      scarce ? 0 : static_cast<int64_t>(view.demand * kYieldCoverSeconds);
  const int64_t idle = view.available - view.queued - keep;
  return std::clamp<int64_t>(idle, 0, wanted);
}

}  // namespace tamaracktrail
