#ifndef COORDINATION_RETRY_BUDGET_H_
#define COORDINATION_RETRY_BUDGET_H_

#include <algorithm>

namespace tamaracktrail {

//! Limits retries to a fraction of the requests, so that retries cannot amplify
//! an overload. Not thread-safe.
class RetryBudget {
 public:
  //! Each request adds `ratio` retries; at most `burst` are accumulated.
  RetryBudget(double ratio, double burst)
      : ratio_(ratio), burst_(burst), retries_(burst) {}

  void OnRequest() { retries_ = std::min(burst_, retries_ + ratio_); }

  //! Sets the limit of accumulated retries.
  void SetBurst(double burst) {
    burst_ = burst;
    retries_ = std::min(retries_, burst_);
  }

  //! Retries that are left, with fractions.
  double left() const { return retries_; }
  double burst() const { return burst_; }

  //! Whether `TakeRetry` would succeed.
  bool HasRetry() const { return retries_ >= 1; }

  //! Takes one retry; returns false if none is available.
  bool TakeRetry() {
    if (retries_ < 1) {
      return false;
    }
    retries_ -= 1;
    return true;
  }

 private:
  double ratio_;
  double burst_;
  double retries_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_RETRY_BUDGET_H_
