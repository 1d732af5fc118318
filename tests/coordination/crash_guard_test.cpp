#include "coordination/crash_guard.h"

#include <gtest/gtest.h>

namespace tamaracktrail {
namespace {

constexpr Millis kNow{100000};
constexpr uint64_t kContent = 1;
constexpr uint64_t kFirstEndpoint = 10;
constexpr uint64_t kSecondEndpoint = 11;

TEST(CrashGuardTest, LostConnectionAloneIsNoCrash) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kContent, kFirstEndpoint);
  guard.OnConnectionLost(kNow + Millis(5000), kContent, kSecondEndpoint);
  EXPECT_FALSE(guard.IsSuspect(kContent));
}

TEST(CrashGuardTest, EndpointDownWithinTheCrashWindowIsACrash) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kContent, kFirstEndpoint);
  guard.OnEndpointDown(kNow + Millis(100), kFirstEndpoint);
  EXPECT_TRUE(guard.IsSuspect(kContent));
  EXPECT_FALSE(guard.IsBlocked(kContent));
  guard.OnConnectionLost(kNow + Millis(1000), kContent, kSecondEndpoint);
  guard.OnEndpointDown(kNow + Millis(1100), kSecondEndpoint);
  EXPECT_TRUE(guard.IsBlocked(kContent));
}

TEST(CrashGuardTest, EndpointDownAfterTheCrashWindowIsNoCrash) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kContent, kFirstEndpoint);
  guard.OnEndpointDown(kNow + Millis(5000), kFirstEndpoint);
  EXPECT_FALSE(guard.IsSuspect(kContent));
}

TEST(CrashGuardTest, ConnectionsOfTwoContentsLostTogetherAreACrash) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kContent, kFirstEndpoint);
  guard.OnConnectionLost(kNow + Millis(20), 2, kFirstEndpoint);
  EXPECT_TRUE(guard.IsSuspect(kContent));
  EXPECT_TRUE(guard.IsSuspect(2));
}

TEST(CrashGuardTest, KnowsWhenAnEndpointLostAConnection) {
  CrashGuard guard;
  EXPECT_FALSE(guard.LostSince(Millis(0), kFirstEndpoint));
  guard.OnConnectionLost(kNow, kContent, kFirstEndpoint);
  EXPECT_TRUE(guard.LostSince(kNow, kFirstEndpoint));
  EXPECT_FALSE(guard.LostSince(kNow + Millis(1), kFirstEndpoint));
  EXPECT_FALSE(guard.LostSince(kNow, kSecondEndpoint));
  guard.OnEndpointDown(kNow + Millis(5), kSecondEndpoint);
  EXPECT_TRUE(guard.LostSince(kNow + Millis(5), kSecondEndpoint));
  EXPECT_FALSE(guard.LostSince(kNow + Millis(6), kSecondEndpoint));
}

TEST(CrashGuardTest, CrashReportedTwiceForAnEndpointCountsOnce) {
  CrashGuard guard;
  guard.OnReported(kNow, {kContent, kFirstEndpoint});
  guard.OnReported(kNow, {kContent, kFirstEndpoint});
  EXPECT_FALSE(guard.IsBlocked(kContent));
  guard.OnReported(kNow, {kContent, kSecondEndpoint});
  EXPECT_TRUE(guard.IsBlocked(kContent));
  EXPECT_EQ(guard.KnownCrashes(8).size(), 2U);
  guard.OnTick(kNow + kHour);
  EXPECT_FALSE(guard.IsBlocked(kContent));
}

TEST(CrashGuardTest, CrashSeenByPeerConfirmsOwnLostConnection) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kContent, kFirstEndpoint, {7});
  EXPECT_FALSE(guard.IsSuspect(kContent));
  guard.OnReported(kNow + Millis(200), {kContent + 1, kFirstEndpoint});
  EXPECT_TRUE(guard.IsSuspect(kContent));
  EXPECT_TRUE(guard.parts().IsSuspect(7));
}

}  // namespace
}  // namespace tamaracktrail
