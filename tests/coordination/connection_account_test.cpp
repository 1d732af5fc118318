#include "coordination/connection_account.h"

#include <gtest/gtest.h>

namespace tamaracktrail {
namespace {

constexpr size_t kMebibyte = 1024 * 1024;
constexpr size_t kBudget = 16 * kMebibyte;
constexpr Millis kNow(1000);

//! Adds connections 1 to `n` that receive bodies of `bytes` each.
void Fill(ConnectionAccount* account, size_t n, size_t bytes) {
  for (size_t i = 1; i <= n; ++i) {
    account->Add(kNow, i);
    account->Set(kNow + Millis(static_cast<int64_t>(i)), i, bytes, true);
  }
}

TEST(ConnectionAccountTest, CountsWhatConnectionsHoldAndTheirFixedCost) {
  ConnectionAccount account(kBudget);
  Fill(&account, 3, kMebibyte);
  EXPECT_EQ(account.held(),
            3 * (kMebibyte + ConnectionAccount::kConnectionBytes));
  account.Set(kNow + Millis(10), 2, 0, true);
  account.Remove(3);
  account.Remove(3);
  EXPECT_EQ(account.held(),
            kMebibyte + 2 * ConnectionAccount::kConnectionBytes);
  account.Remove(1);
  account.Remove(2);
  EXPECT_EQ(account.held(), 0U);
}

// Guards against large bodies that are read although they can't be held, and
// against small requests that are refused with them.
TEST(ConnectionAccountTest, LargeBodiesLeaveAQuarterToSmallRequests) {
  ConnectionAccount account(kBudget);
  Fill(&account, 11, kMebibyte);
  account.Add(kNow, 100);
  const Millis now = kNow + Millis(20);
  EXPECT_FALSE(account.Request(now, 100, 4 * kMebibyte).holds);
  EXPECT_FALSE(account.Request(now, 100, 4 * kMebibyte).closes);
  EXPECT_TRUE(account.Request(now, 100, 1000).holds);
  EXPECT_TRUE(account.is_short());
  EXPECT_FALSE(account.is_over());
}

// Guards against bodies that stop before the end and keep out others.
TEST(ConnectionAccountTest, AStalledBodyGivesWayToALargeOne) {
  ConnectionAccount account(kBudget);
  Fill(&account, 11, kMebibyte);
  account.Add(kNow, 100);
  const Millis now = kNow + ConnectionAccount::kStalledTime + Millis(2);
  account.Set(now, 1, kMebibyte, true);  // Progresses.
  EXPECT_EQ(account.Request(now, 100, kMebibyte).closes, 2U);
  account.Set(now, 2, kMebibyte, false);  // Is being served now.
  EXPECT_FALSE(account.Request(now, 100, kMebibyte).closes);
  EXPECT_EQ(account.Request(now + Millis(1), 100, kMebibyte).closes, 3U);
}

// Guards against large bodies in slow but steady progress that use up the
// budget.
TEST(ConnectionAccountTest, ALargeHolderGivesWayToASmallRequest) {
  ConnectionAccount account(kBudget);
  Fill(&account, 15, kMebibyte);
  account.Add(kNow, 100);
  account.Add(kNow, 101);
  account.Set(kNow + Millis(20), 101, kBudget - account.held(), false);
  EXPECT_EQ(account.Request(kNow + Millis(20), 100, 1000).closes, 1U);
  account.Remove(1);
  EXPECT_TRUE(account.Request(kNow + Millis(20), 100, 1000).holds);
}

TEST(ConnectionAccountTest, OverTheBudgetTheLargestIsClosedFirst) {
  ConnectionAccount account(kBudget);
  Fill(&account, 4, kMebibyte);
  EXPECT_EQ(account.ChooseToClose(), 1U);
  account.Set(kNow + Millis(50), 3, 14 * kMebibyte, true);
  EXPECT_TRUE(account.is_over());
  EXPECT_EQ(account.ChooseToClose(), 3U);
  account.Remove(3);
  for (const ConnectionAccount::Id it : {1, 2, 4}) {
    account.Set(kNow + Millis(60), it, 1000, true);
  }
  EXPECT_FALSE(account.ChooseToClose());
}

}  // namespace
}  // namespace tamaracktrail
