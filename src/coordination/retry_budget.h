#ifndef COORDINATION_RETRY_BUDGET_H_
#define COORDINATION_RETRY_BUDGET_H_

#include <algorithm>

namespace tamaracktrail {

//! Limits retries to a fraction of the requests and a burst, so that retries
//! cannot amplify an overload.
//!
//! A budget does not know what an earlier process of the instance took. So it
//! starts empty: requests add retries at once, the burst is added when retries
//! from before the start no longer count. Restarts therefore never allow more
//! retries. Not thread-safe.
class RetryBudget {
 public:
  //! Each request adds `ratio` retries; at most `burst` are accumulated.
  RetryBudget(double ratio, double burst) : ratio_(ratio), burst_(burst) {}

  void OnRequest() { retries_ = std::min(burst_, retries_ + ratio_); }

  //! Adds the burst, less what was taken so far. Only the first call has an
  //! effect.
  void AddBurst() {
    if (!burst_added_) {
      burst_added_ = true;
      retries_ = std::max(retries_, burst_ - taken_);
    }
  }

  //! Sets the retries that each request adds.
  void SetRatio(double ratio) { ratio_ = ratio; }

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
    taken_ += 1;
    return true;
  }

 private:
  double ratio_;
  double burst_;
  double retries_ = 0;
  double taken_ = 0;  //!< Since the start.
  bool burst_added_ = false;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_RETRY_BUDGET_H_
