#include <gtest/gtest.h>

#include "coordination/fleet_part.h"
#include "coordination/retry_budget.h"
#include "coordination/retry_budgets.h"
#include "state/millis.h"

namespace tamaracktrail {
namespace {

constexpr Millis kWindow{10000};
constexpr RetryBudgets::Limits kLimits{0.2, 50, kWindow};

//! The part of an instance that ran before and that is the only one.
FleetPart WholePart(Millis started_at) {
  FleetPart part(started_at, kWindow, /*first_start=*/false);
  part.OnFirstListed(/*names_self=*/true);
  part.OnCounted(started_at, 1);
  return part;
}

//! Takes all retries that are left; returns their number.
int TakeAll(RetryBudget* budget) {
  int n = 0;
  while (budget->TakeRetry()) {
    ++n;
  }
  return n;
}

// Guards against each start of an instance allowing another burst.
TEST(RetryBudgetsTest, StartOfAProcessAllowsNoBurstWithinTheWindow) {
  const Millis started_at{1000};
  const FleetPart part = WholePart(started_at);
  RetryBudgets budgets(&part, kLimits);
  EXPECT_EQ(TakeAll(&budgets.For(started_at, "app")), 0);
  EXPECT_EQ(TakeAll(&budgets.For(started_at + kWindow - Millis(1), "app")), 0);
}

TEST(RetryBudgetsTest, RequestsAllowRetriesFromTheStartOn) {
  const FleetPart part = WholePart(Millis(0));
  RetryBudgets budgets(&part, kLimits);
  for (int i = 0; i < 100; ++i) {
    budgets.For(Millis(1), "app").OnRequest();
  }
  EXPECT_EQ(TakeAll(&budgets.For(Millis(1), "app")), 16);
}

TEST(RetryBudgetsTest, BurstIsAllowedOnceAWindowHasPassed) {
  const FleetPart part = WholePart(Millis(0));
  RetryBudgets budgets(&part, kLimits);
  EXPECT_EQ(TakeAll(&budgets.For(kWindow, "app")), 40);
  EXPECT_EQ(TakeAll(&budgets.For(kWindow * 2, "app")), 0);
}

TEST(RetryBudgetsTest, BurstIsLessByWhatWasTakenSinceTheStart) {
  const FleetPart part = WholePart(Millis(0));
  RetryBudgets budgets(&part, kLimits);
  for (int i = 0; i < 100; ++i) {
    budgets.For(Millis(1), "app").OnRequest();
  }
  EXPECT_EQ(TakeAll(&budgets.For(kWindow - Millis(1), "app")), 16);
  EXPECT_EQ(TakeAll(&budgets.For(kWindow, "app")), 24);
}

// Guards against an instance without a list taking the burst of the fleet.
TEST(RetryBudgetsTest, InstanceWithoutAListHasNoRetries) {
  const FleetPart part(Millis(0), kWindow, /*first_start=*/false);
  RetryBudgets budgets(&part, kLimits);
  for (int i = 0; i < 100; ++i) {
    budgets.For(Millis(1), "app").OnRequest();
  }
  EXPECT_EQ(TakeAll(&budgets.For(kWindow * 10, "app")), 0);
}

// Guards against a reload that changes the burst alone.
TEST(RetryBudgetsTest, NewLimitsApplyToBudgetsInUse) {
  const FleetPart part = WholePart(Millis(0));
  RetryBudgets budgets(&part, kLimits);
  budgets.For(Millis(0), "app").OnRequest();
  EXPECT_EQ(TakeAll(&budgets.For(Millis(0), "app")), 0);
  budgets.SetLimits({0.1, 25, kWindow});
  for (int i = 0; i < 100; ++i) {
    budgets.For(Millis(1), "app").OnRequest();
  }
  EXPECT_EQ(TakeAll(&budgets.For(Millis(1), "app")), 8);
  EXPECT_EQ(TakeAll(&budgets.For(kWindow, "app")), 12);
}

}  // namespace
}  // namespace tamaracktrail
