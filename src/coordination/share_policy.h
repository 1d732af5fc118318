#ifndef COORDINATION_SHARE_POLICY_H_
#define COORDINATION_SHARE_POLICY_H_

#include <concepts>
#include <cstdint>

#include "coordination/share_view.h"

namespace tamaracktrail {

//! Decides the size of a keeper's share of a budget. The choice of policy
//! affects the rate of requests refused although the budget has enough tokens,
//! and the log traffic. No policy can cause overspend, because the ledger fold
//! accepts draws from undrawn tokens only.
template <class P>
concept SharePolicy = requires(const P policy, const ShareView& view) {
  //! Tokens to draw from the undrawn part now; 0 for none.
  { policy.Draw(view) } -> std::same_as<int64_t>;
  //! Tokens to return without a request from another keeper; 0 for none.
  { policy.Surplus(view) } -> std::same_as<int64_t>;
  //! Tokens to return when another keeper requests the given number.
  { policy.Yield(view, int64_t{}) } -> std::same_as<int64_t>;
  //! Whether to request tokens from other keepers when the undrawn part does
  //! not cover the queue.
  { policy.requests_from_others() } -> std::same_as<bool>;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_SHARE_POLICY_H_
