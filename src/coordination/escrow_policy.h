#ifndef COORDINATION_ESCROW_POLICY_H_
#define COORDINATION_ESCROW_POLICY_H_

#include <cstdint>

#include "coordination/stock_view.h"
#include "state/millis.h"

namespace tamaracktrail {

//! The product's share policy: stocks by recent demand while the budget is
//! rich, draws less as it runs low, and gives up idle tokens on request.
//! Immutable.
class EscrowPolicy {
 public:
  //! `hold` in [0, 1] is the part of an even split that a keeper may stock
  //! ahead of demand: 0 holds nothing ahead (tokens are rarely where they are
  //! not wanted, but a cut-off data centre soon refuses), 1 stocks the whole
  //! even split. `cover` is the demand that stock is to last for.
  EscrowPolicy(double hold, Millis cover) : hold_(hold), cover_(cover) {}

  int64_t Draw(const StockView& view) const;
  int64_t Surplus(const StockView& view) const;
  int64_t Yield(const StockView& view, int64_t wanted) const;
  bool asks_others() const { return true; }

 private:
  //! Stock to have ahead of the queue.
  int64_t Target(const StockView& view) const;

  double hold_;
  Millis cover_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ESCROW_POLICY_H_
