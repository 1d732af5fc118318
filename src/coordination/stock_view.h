#ifndef COORDINATION_STOCK_VIEW_H_
#define COORDINATION_STOCK_VIEW_H_

#include <cstdint>

namespace tamaracktrail {

//! What a share policy may look at when it sizes a keeper's share of one
//! budget. All amounts in tokens.
struct StockView {
  int64_t prepaid = 0;
  int64_t undrawn = 0;
  int64_t share = 0;         //!< The keeper's, reservations included.
  int64_t available = 0;     //!< The keeper's, not reserved.
  int64_t drawn = 0;         //!< Granted to this keeper so far.
  int64_t queued = 0;        //!< Worst cases that wait for tokens.
  int64_t largest = 0;       //!< Largest recent worst case.
  double demand = 0;         //!< Tokens a second, smoothed.
  int64_t data_centres = 1;  //!< That share the budget.

  friend bool operator==(const StockView&, const StockView&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_STOCK_VIEW_H_
