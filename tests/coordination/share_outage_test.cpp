#include "coordination/share_outage.h"

#include <gtest/gtest.h>

namespace tamaracktrail {
namespace {

//! Plays `seconds` of requests each 50 ms, of which a part is refused.
Millis Play(ShareOutage* outage,
            Millis now,
            int seconds,
            double refused_part,
            bool lost) {
  double owed = 0;
  for (const Millis end = now + Millis(seconds * 1000); now < end;
       now = now + Millis(50)) {
    owed += refused_part;
    if (owed >= 1) {
      owed -= 1;
      outage->OnRefused(now);
    } else {
      outage->OnGranted(now);
    }
    outage->OnTick(now, lost);
  }
  return now;
}

TEST(ShareOutageTest, OneOrganisationThatIsTurnedAwayWhileTheLogIsLost) {
  ShareOutage outage;
  Millis now = Play(&outage, Millis(1000), 2, 0, true);
  EXPECT_FALSE(outage.active());
  now = Play(&outage, now, 2, 0.7, true);
  EXPECT_TRUE(outage.active());
  // No caller comes any more; that says nothing of the shares.
  outage.OnTick(now + Millis(5000), true);
  EXPECT_TRUE(outage.active());
  outage.OnTick(now + Millis(5100), false);
  EXPECT_FALSE(outage.active());
}

TEST(ShareOutageTest, RefusalsAloneMoveNobody) {
  ShareOutage outage;
  Play(&outage, Millis(1000), 5, 1, false);
  EXPECT_FALSE(outage.active());
}

TEST(ShareOutageTest, FewRefusalsMoveNobody) {
  ShareOutage outage;
  Play(&outage, Millis(1000), 5, 0.1, true);
  EXPECT_FALSE(outage.active());
}

TEST(ShareOutageTest, AShortLossMovesNobody) {
  ShareOutage outage;
  Millis now = Play(&outage, Millis(1000), 3, 1, false);
  outage.OnTick(now, true);
  outage.OnTick(now + Millis(500), true);
  EXPECT_FALSE(outage.active());
}

}  // namespace
}  // namespace tamaracktrail
