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
  guard.OnConnectionLost(kNow, kFirstEndpoint, {kContent, {}, false});
  guard.OnConnectionLost(kNow + Millis(5000), kSecondEndpoint,
                         {kContent, {}, false});
  EXPECT_FALSE(guard.suspects().IsSuspect(kContent));
}

TEST(CrashGuardTest, EndpointDownWithinTheCrashWindowIsACrash) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kFirstEndpoint, {kContent, {}, false});
  guard.OnEndpointDown(kNow + Millis(100), kFirstEndpoint);
  EXPECT_TRUE(guard.suspects().IsSuspect(kContent));
  EXPECT_FALSE(guard.suspects().IsContentBlocked(kNow, kContent));
  guard.OnConnectionLost(kNow + Millis(1000), kSecondEndpoint,
                         {kContent, {}, false});
  guard.OnEndpointDown(kNow + Millis(1100), kSecondEndpoint);
  EXPECT_TRUE(guard.suspects().IsContentBlocked(kNow, kContent));
}

TEST(CrashGuardTest, EndpointDownAfterTheCrashWindowIsNoCrash) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kFirstEndpoint, {kContent, {}, false});
  guard.OnEndpointDown(kNow + Millis(5000), kFirstEndpoint);
  EXPECT_FALSE(guard.suspects().IsSuspect(kContent));
}

TEST(CrashGuardTest, ConnectionsOfTwoContentsLostTogetherAreACrash) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kFirstEndpoint, {kContent, {}, false});
  guard.OnConnectionLost(kNow + Millis(20), kFirstEndpoint, {2, {}, false});
  EXPECT_TRUE(guard.suspects().IsSuspect(kContent));
  EXPECT_TRUE(guard.suspects().IsSuspect(2));
}

TEST(CrashGuardTest, KnowsWhenAnEndpointLostAConnection) {
  CrashGuard guard;
  EXPECT_FALSE(guard.LostSince(Millis(0), kFirstEndpoint));
  guard.OnConnectionLost(kNow, kFirstEndpoint, {kContent, {}, false});
  EXPECT_TRUE(guard.LostSince(kNow, kFirstEndpoint));
  EXPECT_FALSE(guard.LostSince(kNow + Millis(1), kFirstEndpoint));
  EXPECT_FALSE(guard.LostSince(kNow, kSecondEndpoint));
  guard.OnEndpointDown(kNow + Millis(5), kSecondEndpoint);
  EXPECT_TRUE(guard.LostSince(kNow + Millis(5), kSecondEndpoint));
  EXPECT_FALSE(guard.LostSince(kNow + Millis(6), kSecondEndpoint));
}

TEST(CrashGuardTest, RequestThatWasBeingAnsweredIsNotSuspect) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kFirstEndpoint, {kContent, {7}, true});
  guard.OnConnectionLost(kNow + Millis(20), kFirstEndpoint, {2, {8}, false});
  EXPECT_FALSE(guard.suspects().IsSuspect(kContent));
  EXPECT_FALSE(guard.suspects().IsSuspect(7));
  EXPECT_TRUE(guard.suspects().IsSuspect(2));
  EXPECT_TRUE(guard.suspects().IsSuspect(8));
}

SuspectCrash ReportedCrash(uint64_t content, uint64_t endpoint) {
  return {endpoint, {content}, 1, 0};
}

TEST(CrashGuardTest, CrashReportedTwiceForAnEndpointCountsOnce) {
  CrashGuard guard;
  guard.OnReport(kNow, {ReportedCrash(kContent, kFirstEndpoint)});
  guard.OnReport(kNow, {ReportedCrash(kContent, kFirstEndpoint)});
  EXPECT_FALSE(guard.suspects().IsContentBlocked(kNow, kContent));
  const Millis later = kNow + Millis(1000);
  guard.OnReport(later, {ReportedCrash(kContent, kSecondEndpoint)});
  EXPECT_TRUE(guard.suspects().IsContentBlocked(later, kContent));
  EXPECT_EQ(guard.suspects().MakeReport(later, 8).size(), 2U);
  guard.OnTick(kNow + kHour);
  EXPECT_FALSE(guard.suspects().IsSuspect(kContent));
}

TEST(CrashGuardTest, CrashSeenByPeerConfirmsOwnLostConnection) {
  CrashGuard guard;
  guard.OnConnectionLost(kNow, kFirstEndpoint, {kContent, {7}, false});
  EXPECT_FALSE(guard.suspects().IsSuspect(kContent));
  guard.OnReport(kNow + Millis(200),
                 {ReportedCrash(kContent + 1, kFirstEndpoint)});
  EXPECT_TRUE(guard.suspects().IsSuspect(kContent));
  EXPECT_TRUE(guard.suspects().IsSuspect(7));
}

}  // namespace
}  // namespace tamaracktrail
