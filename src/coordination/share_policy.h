#ifndef COORDINATION_SHARE_POLICY_H_
#define COORDINATION_SHARE_POLICY_H_

#include <concepts>
#include <cstdint>

#include "coordination/stock_view.h"

namespace tamaracktrail {

//! Sizes a keeper's share. A policy changes false refusals and log traffic; no
//! policy can cause overspend, which the ledger fold rules out.
template <class P>
concept SharePolicy = requires(const P policy, const StockView& view) {
  //! Tokens to draw now; 0 for none.
  { policy.Draw(view) } -> std::same_as<int64_t>;
  //! Tokens to return unasked.
  { policy.Surplus(view) } -> std::same_as<int64_t>;
  //! Tokens to give up when another keeper wants `wanted`.
  { policy.Yield(view, int64_t{}) } -> std::same_as<int64_t>;
  //! Whether to record a want when the undrawn part is empty.
  { policy.asks_others() } -> std::same_as<bool>;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_SHARE_POLICY_H_
