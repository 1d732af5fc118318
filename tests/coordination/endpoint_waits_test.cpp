#include <gtest/gtest.h>

#include <cstdint>
#include <limits>

#include "coordination/endpoint_waits.h"
#include "state/millis.h"

namespace tamaracktrail {
namespace {

constexpr uint64_t kEndpoint = 7;
constexpr Millis kNow{100000};
constexpr Millis kEnd = kNow + Millis(3000);

//! Sends all that the waits allow, in steps of 10 ms; returns the number.
int SendAll(EndpointWaits* waits, Millis from, Millis to) {
  int n = 0;
  for (Millis now = from; now < to; now = now + Millis(10)) {
    while (n < 1000 && waits->MaySend(now, kEndpoint)) {
      waits->OnSent(now, kEndpoint);
      ++n;
    }
  }
  return n;
}

TEST(EndpointWaitsTest, NothingIsSentUntilTheWaitEnds) {
  EndpointWaits waits;
  EXPECT_TRUE(waits.MaySend(kNow, kEndpoint));
  EXPECT_TRUE(waits.OnAsked(kNow, kEndpoint, Millis(3000), 0));
  EXPECT_EQ(SendAll(&waits, kNow, kEnd), 0);
  EXPECT_EQ(waits.RatePerSecond(kNow, kEndpoint), 0);
  EXPECT_EQ(waits.CountWaiting(kNow), 1U);
  EXPECT_TRUE(waits.MaySend(kNow, kEndpoint + 1));
}

TEST(EndpointWaitsTest, LoadComesBackGradually) {
  EndpointWaits waits;
  waits.OnAsked(kNow, kEndpoint, Millis(3000), 0);
  EXPECT_LE(SendAll(&waits, kEnd, kEnd + Millis(1000)), 2);
  const int third = SendAll(&waits, kEnd + Millis(2000), kEnd + Millis(3000));
  EXPECT_GT(third, 3);
  EXPECT_LT(third, 9);
  EXPECT_FALSE(waits.IsRestricted(kEnd + Millis(6000), kEndpoint));
}

TEST(EndpointWaitsTest, InstancesComeBackAtDifferentTimes) {
  EndpointWaits early;
  EndpointWaits late;
  early.OnAsked(kNow, kEndpoint, Millis(3000), 0.9);
  late.OnAsked(kNow, kEndpoint, Millis(3000), 0.1);
  EXPECT_GT(late.TimeToNext(kNow, kEndpoint),
            early.TimeToNext(kNow, kEndpoint) + Millis(500));
  EXPECT_GE(early.TimeToNext(kNow, kEndpoint), Millis(3000));
}

TEST(EndpointWaitsTest, LaterRefusalExtendsTheWaitAndNeverShortensIt) {
  EndpointWaits waits;
  waits.OnAsked(kNow, kEndpoint, Millis(3000), 0);
  EXPECT_FALSE(waits.OnAsked(kNow + Millis(10), kEndpoint, Millis(100), 0));
  EXPECT_FALSE(waits.OnAsked(kNow + Millis(10), kEndpoint, Millis(0), 0));
  EXPECT_FALSE(waits.MaySend(kEnd - Millis(1), kEndpoint));
  EXPECT_TRUE(waits.OnAsked(kNow + Millis(10), kEndpoint, Millis(4000), 0));
  EXPECT_FALSE(waits.MaySend(kEnd + Millis(1000), kEndpoint));
}

TEST(EndpointWaitsTest, HugeWaitEndsAndNoWaitChangesNothing) {
  EndpointWaits waits;
  EXPECT_FALSE(waits.OnAsked(kNow, kEndpoint, Millis(0), 0));
  EXPECT_FALSE(waits.IsRestricted(kNow, kEndpoint));
  waits.OnAsked(kNow, kEndpoint,
                Millis(std::numeric_limits<int64_t>::max() / 2), 0.5);
  const Millis end = kNow + EndpointWaits::kMaxWait;
  EXPECT_EQ(SendAll(&waits, end - Millis(1000), end), 0);
  EXPECT_GT(SendAll(&waits, end, end + Millis(2000)), 0);
}

TEST(EndpointWaitsTest, EndedWaitsAreDropped) {
  EndpointWaits waits;
  waits.OnAsked(kNow, kEndpoint, Millis(3000), 0);
  waits.OnTick(kEnd + Millis(1000));
  EXPECT_TRUE(waits.IsRestricted(kEnd + Millis(1000), kEndpoint));
  waits.OnTick(kEnd + Millis(10000));
  EXPECT_FALSE(waits.IsRestricted(kEnd + Millis(10000), kEndpoint));
}

}  // namespace
}  // namespace tamaracktrail
