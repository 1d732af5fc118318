#ifndef COORDINATION_SHARE_VIEW_H_
#define COORDINATION_SHARE_VIEW_H_

#include <cstdint>

namespace tamaracktrail {

//! Input of a share policy: the state of one budget and of one keeper's share
//! of it. All amounts are in tokens.
struct ShareView {
  int64_t prepaid = 0;
  int64_t undrawn = 0;           //!< Tokens in no keeper's share.
  int64_t share = 0;             //!< The keeper's share, reservations included.
  int64_t available = 0;         //!< Part of the share that can be reserved.
  int64_t drawn = 0;             //!< Total that this keeper has drawn.
  int64_t queued_tokens = 0;     //!< Tokens that the queued requests need.
  int64_t largest_request = 0;   //!< Largest reservation requested so far.
  double demand_per_second = 0;  //!< Exponentially smoothed charge rate.
  int64_t data_centres = 1;      //!< Data centres that share the budget.

  friend bool operator==(const ShareView&, const ShareView&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_SHARE_VIEW_H_
