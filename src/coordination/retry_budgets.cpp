#include "coordination/retry_budgets.h"

#include "coordination/fleet_part.h"

namespace tamaracktrail {

namespace {

//! Fraction of the limits that is used. The parts of all instances add up to
//! 1.25 while instances are added that others do not count yet; see FleetPart.
constexpr double kUsedFraction = 0.8;

}  // namespace

RetryBudget& RetryBudgets::For(Millis now, const std::string& service) {
  RetryBudget& budget = budgets_.try_emplace(service, 0, 0).first->second;
  budget.SetRatio(limits_.ratio * kUsedFraction);
  budget.SetBurst(limits_.extra * kUsedFraction * part_->Fraction(now));
  if (part_->MayUseAtOnce(now)) {
    budget.AddBurst();
  }
  return budget;
}

}  // namespace tamaracktrail
