#include "coordination/crash_guard.h"

#include <gtest/gtest.h>

namespace tamaracktrail {
namespace {

constexpr Millis kNow{100000};
constexpr uint64_t kContent = 1;
constexpr uint64_t kFirst = 10;
constexpr uint64_t kSecond = 11;

TEST(CrashGuardTest, LostConnectionAloneIsNoCrash) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kContent, kFirst);
  guard.OnConnectionLost(kNow + Millis(5000), kContent, kSecond);
  EXPECT_FALSE(guard.IsSuspect(kContent));
}

TEST(CrashGuardTest, EndpointDownWithinTheCrashWindowIsACrash) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kContent, kFirst);
  guard.OnEndpointDown(kNow + Millis(100), kFirst);
  EXPECT_TRUE(guard.IsSuspect(kContent));
  EXPECT_FALSE(guard.IsBlocked(kContent));
  guard.OnConnectionLost(kNow + Millis(1000), kContent, kSecond);
  guard.OnEndpointDown(kNow + Millis(1100), kSecond);
  EXPECT_TRUE(guard.IsBlocked(kContent));
}

TEST(CrashGuardTest, EndpointDownAfterTheCrashWindowIsNoCrash) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kContent, kFirst);
  guard.OnEndpointDown(kNow + Millis(5000), kFirst);
  EXPECT_FALSE(guard.IsSuspect(kContent));
}

TEST(CrashGuardTest, ConnectionsOfTwoContentsLostTogetherAreACrash) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kContent, kFirst);
  guard.OnConnectionLost(kNow + Millis(20), 2, kFirst);
  EXPECT_TRUE(guard.IsSuspect(kContent));
  EXPECT_TRUE(guard.IsSuspect(2));
}

TEST(CrashGuardTest, CrashReportedTwiceForAnEndpointCountsOnce) {
  CrashGuard guard;
  guard.OnReported(kNow, {kContent, kFirst});
  guard.OnReported(kNow, {kContent, kFirst});
  EXPECT_FALSE(guard.IsBlocked(kContent));
  guard.OnReported(kNow, {kContent, kSecond});
  EXPECT_TRUE(guard.IsBlocked(kContent));
  EXPECT_EQ(guard.KnownCrashes(8).size(), 2U);
  guard.OnTick(kNow + kHour);
  EXPECT_FALSE(guard.IsBlocked(kContent));
}

}  // namespace
}  // namespace tamaracktrail
