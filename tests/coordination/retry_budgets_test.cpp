#include <gtest/gtest.h>

#include "coordination/retry_budget.h"
#include "coordination/retry_budgets.h"
#include "state/millis.h"

namespace tamaracktrail {
namespace {

constexpr Millis kWindow{10000};
constexpr RetryBudgets::Limits kLimits{0.2, 50, kWindow};

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
  RetryBudgets budgets(started_at, kLimits);
  EXPECT_EQ(TakeAll(&budgets.For(started_at, "app")), 0);
  EXPECT_EQ(TakeAll(&budgets.For(started_at + kWindow - Millis(1), "app")), 0);
}

TEST(RetryBudgetsTest, RequestsAllowRetriesFromTheStartOn) {
  RetryBudgets budgets(Millis(0), kLimits);
  for (int i = 0; i < 100; ++i) {
    budgets.For(Millis(1), "app").OnRequest();
  }
  EXPECT_EQ(TakeAll(&budgets.For(Millis(1), "app")), 16);
}

TEST(RetryBudgetsTest, BurstIsAllowedOnceAWindowHasPassed) {
  RetryBudgets budgets(Millis(0), kLimits);
  EXPECT_EQ(TakeAll(&budgets.For(kWindow, "app")), 40);
  EXPECT_EQ(TakeAll(&budgets.For(kWindow * 2, "app")), 0);
}

TEST(RetryBudgetsTest, BurstIsLessByWhatWasTakenSinceTheStart) {
  RetryBudgets budgets(Millis(0), kLimits);
  for (int i = 0; i < 100; ++i) {
    budgets.For(Millis(1), "app").OnRequest();
  }
  EXPECT_EQ(TakeAll(&budgets.For(kWindow - Millis(1), "app")), 16);
  EXPECT_EQ(TakeAll(&budgets.For(kWindow, "app")), 24);
}

}  // namespace
}  // namespace tamaracktrail
