#include "coordination/link_congestion.h"

#include <gtest/gtest.h>

namespace tamaracktrail {
namespace {

//! Simulates `seconds` with an attempt every `gap`, of which the fraction
//! `unconnected_ratio` ends unconnected. Returns the time of the end.
Millis Simulate(LinkCongestion* congestion,
                Millis now,
                int seconds,
                Millis gap,
                double unconnected_ratio) {
  double unconnected_due = 0;
  for (const Millis end = now + Millis(seconds * 1000); now < end;
       now = now + gap) {
    unconnected_due += unconnected_ratio;
    const bool unconnected = unconnected_due >= 1;
    unconnected_due -= unconnected ? 1 : 0;
    congestion->OnAttempt(now, unconnected);
    congestion->OnTick(now);
  }
  return now;
}

// Load pattern: one of 73 instances receives a fifth of all requests over a
// link of 10 Mbit/s, and 290 of its 400 attempts per second take too long to
// connect.
TEST(LinkCongestionTest, MostAttemptsUnconnectedSetsCongestionUntilTheyStop) {
  LinkCongestion congestion;
  Millis now = Simulate(&congestion, Millis(1000), 5, Millis(5), 0);
  EXPECT_FALSE(congestion.active());
  now = Simulate(&congestion, now, 2, Millis(2), 0.7);
  EXPECT_TRUE(congestion.active());
  // It stays set while the last requests are served, and ends without requests.
  congestion.OnTick(now + Millis(1000));
  EXPECT_TRUE(congestion.active());
  congestion.OnTick(now + Millis(7000));
  EXPECT_FALSE(congestion.active());
}

TEST(LinkCongestionTest, CongestionStaysSetUntilTheLoadBalancerHasNoticed) {
  LinkCongestion congestion;
  const Millis now = Simulate(&congestion, Millis(1000), 1, Millis(2), 0.7);
  ASSERT_TRUE(congestion.active());
  Simulate(&congestion, now, 1, Millis(5), 0);
  EXPECT_TRUE(congestion.active());
}

TEST(LinkCongestionTest, AQuarterOfTheEndpointsUnresponsiveIsNoCongestion) {
  LinkCongestion congestion;
  Simulate(&congestion, Millis(1000), 5, Millis(5), 0.25);
  EXPECT_FALSE(congestion.active());
}

TEST(LinkCongestionTest, FewUnconnectedAttemptsPerSecondAreNoCongestion) {
  LinkCongestion congestion;
  Simulate(&congestion, Millis(1000), 10, Millis(200), 1);
  EXPECT_FALSE(congestion.active());
}

}  // namespace
}  // namespace tamaracktrail
