#ifndef COORDINATION_ESCROW_POLICY_H_
#define COORDINATION_ESCROW_POLICY_H_

#include <cstdint>

#include "coordination/share_view.h"
#include "state/millis.h"

namespace tamaracktrail {

//! The share policy used in production: holds tokens in advance according to
//! the smoothed demand while the budget is ample, draws less as the budget runs
//! low, and returns idle tokens when another keeper requests them. Immutable.
class EscrowPolicy {
 public:
  //! `hold_fraction` in [0, 1] is the part of an even split between the data
  //! centres that a keeper may hold in advance. With 0 it holds nothing in
  //! advance: few tokens are idle in a data centre without demand, but a data
  //! centre that loses its connection soon refuses requests. With 1 it holds up
  //! to the complete even split. `demand_cover` is the time for which the
  //! tokens held in advance should cover the demand.
  EscrowPolicy(double hold_fraction, Millis demand_cover)
      : hold_fraction_(hold_fraction), demand_cover_(demand_cover) {}

  int64_t Draw(const ShareView& view) const;
  int64_t Surplus(const ShareView& view) const;
  int64_t Yield(const ShareView& view, int64_t requested_tokens) const;
  bool requests_from_others() const { return true; }

 private:
  //! Tokens to hold in advance, beyond those that queued requests need.
  int64_t Target(const ShareView& view) const;

  double hold_fraction_;
  Millis demand_cover_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ESCROW_POLICY_H_
