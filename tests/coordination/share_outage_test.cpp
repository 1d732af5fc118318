#include "coordination/share_outage.h"

#include <gtest/gtest.h>

namespace tamaracktrail {
namespace {

//! Runs one request every 50 ms for `seconds`, refuses a fraction of them, and
//! returns the time of the end.
Millis RunRequests(ShareOutage* outage,
                   Millis now,
                   int seconds,
                   double refused_fraction,
                   bool lost) {
  double refusals_due = 0;
  for (const Millis end = now + Millis(seconds * 1000); now < end;
       now = now + Millis(50)) {
    refusals_due += refused_fraction;
    if (refusals_due >= 1) {
      refusals_due -= 1;
      outage->OnRefused(now);
    } else {
      outage->OnGranted(now);
    }
    outage->OnTick(now, lost);
  }
  return now;
}

TEST(ShareOutageTest, IsActiveFromRefusalsDuringALossUntilTheLogIsBack) {
  ShareOutage outage;
  Millis now = RunRequests(&outage, Millis(1000), 2, 0, true);
  EXPECT_FALSE(outage.active());
  now = RunRequests(&outage, now, 2, 0.7, true);
  EXPECT_TRUE(outage.active());
  // The rate of refusals decays without requests, which must not end the
  // outage: nothing is known of the shares.
  outage.OnTick(now + Millis(5000), true);
  EXPECT_TRUE(outage.active());
  outage.OnTick(now + Millis(5100), false);
  EXPECT_FALSE(outage.active());
}

TEST(ShareOutageTest, IsInactiveOnRefusalsWhileTheLogIsReachable) {
  ShareOutage outage;
  RunRequests(&outage, Millis(1000), 5, 1, false);
  EXPECT_FALSE(outage.active());
}

TEST(ShareOutageTest, IsInactiveOnFewRefusals) {
  ShareOutage outage;
  RunRequests(&outage, Millis(1000), 5, 0.1, true);
  EXPECT_FALSE(outage.active());
}

TEST(ShareOutageTest, IsInactiveOnAShortLoss) {
  ShareOutage outage;
  Millis now = RunRequests(&outage, Millis(1000), 3, 1, false);
  outage.OnTick(now, true);
  outage.OnTick(now + Millis(500), true);
  EXPECT_FALSE(outage.active());
}

}  // namespace
}  // namespace tamaracktrail
