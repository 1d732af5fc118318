#include "coordination/link_congestion.h"

#include <gtest/gtest.h>

namespace tamaracktrail {
namespace {

//! Plays `seconds` of an attempt each `gap`, of which a part times out.
Millis Play(LinkCongestion* congestion,
            Millis now,
            int seconds,
            Millis gap,
            double late_part) {
  double owed = 0;
  for (const Millis end = now + Millis(seconds * 1000); now < end;
       now = now + gap) {
    owed += late_part;
    const bool late = owed >= 1;
    owed -= late ? 1 : 0;
    congestion->OnAttempt(now, late);
    congestion->OnTick(now);
  }
  return now;
}

// As seen of an instance with a fifth of all requests of 73 instances, behind
// 10 Mbit/s: 400 attempts a second, of which 290 took too long to connect.
TEST(LinkCongestionTest, CallersWhoPressOnANarrowLinkAreMoved) {
  LinkCongestion congestion;
  Millis now = Play(&congestion, Millis(1000), 5, Millis(5), 0);
  EXPECT_FALSE(congestion.active());
  now = Play(&congestion, now, 2, Millis(2), 0.7);
  EXPECT_TRUE(congestion.active());
  // The last of them are still served; then nobody comes.
  congestion.OnTick(now + Millis(1000));
  EXPECT_TRUE(congestion.active());
  congestion.OnTick(now + Millis(7000));
  EXPECT_FALSE(congestion.active());
}

TEST(LinkCongestionTest, MovesCallersForAsLongAsTheBalancerNeedsToNotice) {
  LinkCongestion congestion;
  const Millis now = Play(&congestion, Millis(1000), 1, Millis(2), 0.7);
  ASSERT_TRUE(congestion.active());
  Play(&congestion, now, 1, Millis(5), 0);
  EXPECT_TRUE(congestion.active());
}

TEST(LinkCongestionTest, AQuarterOfTheEndpointsFallingSilentMovesNobody) {
  LinkCongestion congestion;
  Play(&congestion, Millis(1000), 5, Millis(5), 0.25);
  EXPECT_FALSE(congestion.active());
}

TEST(LinkCongestionTest, RareRequestsMoveNobody) {
  LinkCongestion congestion;
  Play(&congestion, Millis(1000), 10, Millis(200), 1);
  EXPECT_FALSE(congestion.active());
}

}  // namespace
}  // namespace tamaracktrail
