#include "coordination/escrow_policy.h"

#include <algorithm>

namespace tamaracktrail {

namespace {

constexpr int64_t kStockedRequests = 4;  //!< Least stock, in worst cases.
constexpr int64_t kSurplusFactor = 2;  //!< Stock above target x this goes back.
constexpr double kYieldCoverSeconds = 1;

}  // namespace

int64_t EscrowPolicy::Target(const StockView& view) const {
  const int64_t even_split = (view.undrawn + view.share) / view.data_centres;
  const auto limit =
      static_cast<int64_t>(hold_ * static_cast<double>(even_split));
  const auto demand =
      static_cast<int64_t>(view.demand * static_cast<double>(cover_.count()) /
                           static_cast<double>(kSecond.count()));
  return std::min(limit, std::max(demand, kStockedRequests * view.largest));
}

int64_t EscrowPolicy::Draw(const StockView& view) const {
  const int64_t target = Target(view);
  // Drawing starts at half of the target, so that each draw is worth a record.
  if (view.queued <= view.available && view.available * 2 >= target) {
    return 0;
  }
  const int64_t missing = view.queued + target - view.available;
  return std::clamp<int64_t>(missing, 0, view.undrawn);
}

int64_t EscrowPolicy::Surplus(const StockView& view) const {
  const int64_t target = Target(view);
  const int64_t excess = view.available - view.queued - kSurplusFactor * target;
  return excess > view.largest ? excess + target : 0;
}

int64_t EscrowPolicy::Yield(const StockView& view, int64_t wanted) const {
  const auto keep = static_cast<int64_t>(view.demand * kYieldCoverSeconds);
  const int64_t idle = view.available - view.queued - keep;
  return std::clamp<int64_t>(idle, 0, wanted);
}

}  // namespace tamaracktrail
