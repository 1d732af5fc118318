#include "coordination/escrow_policy.h"

#include <algorithm>

namespace tamaracktrail {

namespace {

//! Minimum target as a multiple of the largest request. A share with less than
//! this available counts as low in Yield.
constexpr int64_t kMinTargetRequests = 4;
//! Surplus is returned once idle tokens exceed this multiple of the target by
//! more than the largest request. The target itself is kept.
constexpr int64_t kSurplusFactor = 2;
//! Seconds of demand that a keeper retains when another one requests tokens.
constexpr double kYieldCoverSeconds = 1;
// Tokens are drawn once the available ones fall below 4/5 of the target.
constexpr int64_t kRefillNumerator = 4;
constexpr int64_t kRefillDenominator = 5;

}  // namespace

int64_t EscrowPolicy::Target(const ShareView& view) const {
  const int64_t even_split = (view.undrawn + view.share) / view.data_centres;
  const auto limit =
      static_cast<int64_t>(hold_fraction_ * static_cast<double>(even_split));
  // A share smaller than the largest request could not serve it and would only
  // keep the tokens from other keepers.
  if (limit < view.largest_request) {
    return 0;
  }
  const auto demand = static_cast<int64_t>(
      view.demand_per_second * static_cast<double>(demand_cover_.count()) /
      static_cast<double>(kSecond.count()));
  return std::min(limit,
                  std::max(demand, kMinTargetRequests * view.largest_request));
}

int64_t EscrowPolicy::Draw(const ShareView& view) const {
  const int64_t target = Target(view);
  const bool enough =
      view.available * kRefillDenominator >= target * kRefillNumerator;
  if (view.queued_tokens <= view.available && enough) {
    return 0;
  }
  const int64_t shortfall = view.queued_tokens + target - view.available;
  return std::clamp<int64_t>(shortfall, 0, view.undrawn);
}

int64_t EscrowPolicy::Surplus(const ShareView& view) const {
  const int64_t target = Target(view);
  const int64_t idle = view.available - view.queued_tokens;
  if (target == 0) {
    // Near the end of the budget: return a remainder that is too small for the
    // largest request.
    return idle < view.largest_request ? std::max<int64_t>(idle, 0) : 0;
  }
  const int64_t excess = idle - kSurplusFactor * target;
  return excess > view.largest_request ? excess + target : 0;
}

int64_t EscrowPolicy::Yield(const ShareView& view,
                            int64_t requested_tokens) const {
  // If fewer than kMinTargetRequests of the largest requests fit into the
  // available tokens, all idle ones are returned, because they may complete a
  // reservation at another keeper.
  const bool low = view.available < kMinTargetRequests * view.largest_request;
  const auto kept_tokens =
      low ? 0
          : static_cast<int64_t>(view.demand_per_second * kYieldCoverSeconds);
  const int64_t idle = view.available - view.queued_tokens - kept_tokens;
  return std::clamp<int64_t>(idle, 0, requested_tokens);
}

}  // namespace tamaracktrail
