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
      : ratio_(ratio), burst_(burst), tokens_(burst) {}

  void OnRequest() { tokens_ = std::min(burst_, tokens_ + ratio_); }

  //! Sets the limit of accumulated retries.
  void SetBurst(double burst) {
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }

  //! Whether `TakeRetry` would succeed.
  bool HasRetry() const { return tokens_ >= 1; }

  //! Takes one retry; returns false if none is available.
  bool TakeRetry() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double ratio_;
  double burst_;
  double tokens_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_RETRY_BUDGET_H_
