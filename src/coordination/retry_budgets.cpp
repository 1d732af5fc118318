#include "coordination/retry_budgets.h"

namespace tamaracktrail {

namespace {

//! Fraction of the fleet's limits that is used. The rest allows for instances
//! that have started and that the others do not count yet.
constexpr double kUsedFraction = 0.8;

}  // namespace

double RetryBudgets::Burst() const {
  return limits_.extra * kUsedFraction / instances_;
}

void RetryBudgets::SetInstances(int instances) {
  instances_ = instances;
  for (auto& [service, budget] : budgets_) {
    budget.SetBurst(Burst());
  }
}

void RetryBudgets::SetLimits(Limits limits) {
  limits_ = limits;
  SetInstances(instances_);
}

RetryBudget& RetryBudgets::For(Millis now, const std::string& service) {
  RetryBudget& budget =
      budgets_
          .try_emplace(service, limits_.ratio * kUsedFraction, Burst())
          .first->second;
  if (now - started_at_ >= limits_.window) {
    budget.AddBurst();
  }
  return budget;
}

}  // namespace tamaracktrail
