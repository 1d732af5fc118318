#ifndef COORDINATION_RETRY_BUDGETS_H_
#define COORDINATION_RETRY_BUDGETS_H_

#include <map>
#include <string>

#include "coordination/retry_budget.h"
#include "state/millis.h"

namespace tamaracktrail {

class FleetPart;

//! This instance's parts of the fleet's retry budgets, one for each service.
//! Not thread-safe.
class RetryBudgets {
 public:
  //! Limits over all instances: in any `window`, a service gets at most `ratio`
  //! retries for each request and `extra` more.
  struct Limits {
    double ratio = 0.2;
    double extra = 0;
    Millis window{10000};

    friend bool operator==(const Limits&, const Limits&) = default;
  };

  //! Precondition: `part` outlives this object.
  RetryBudgets(const FleetPart* part, Limits limits)
      : part_(part), limits_(limits) {}

  //! Applies limits that have changed to all budgets.
  void SetLimits(Limits limits) { limits_ = limits; }

  //! The budget of a service; created on first use.
  RetryBudget& For(Millis now, const std::string& service);

  const std::map<std::string, RetryBudget>& all() const { return budgets_; }

 private:
  const FleetPart* part_;
  Limits limits_;
  std::map<std::string, RetryBudget> budgets_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_RETRY_BUDGETS_H_
