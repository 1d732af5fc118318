#include "coordination/crash_suspects.h"

#include <gtest/gtest.h>

#include <vector>

namespace tamaracktrail {
namespace {

constexpr Millis kNow{100000};
constexpr uint64_t kCommon = 1;
constexpr uint64_t kBefore = 2;
constexpr uint64_t kCrashing = 3;
constexpr uint64_t kContent = 4;
constexpr size_t kMaxReported = 24;

class CrashSuspectsTest : public testing::Test {
 protected:
  //! Another endpoint crashes, a second after the last one.
  void Crash(const std::vector<uint64_t>& parts) {
    now_ = now_ + Millis(1000);
    suspects_.OnCrash(now_, now_, ++endpoint_, parts, ++content_);
  }

  CrashSuspects suspects_;
  Millis now_ = kNow;
  uint64_t endpoint_ = 100;
  uint64_t content_ = 1000;  //!< No two requests have the same.
};

TEST_F(CrashSuspectsTest, PartThatCrashesThreeEndpointsIsBlocked) {
  Crash({kCommon, kBefore, kCrashing});
  Crash({kCommon, kBefore, kCrashing});
  EXPECT_FALSE(suspects_.IsPartBlocked(now_, kCrashing));
  EXPECT_TRUE(suspects_.IsSuspect(kCrashing));
  Crash({kCommon, kBefore, kCrashing});
  EXPECT_TRUE(suspects_.IsPartBlocked(now_, kCrashing));
}

TEST_F(CrashSuspectsTest, SoundPartsBeforeTheCrashingOneAreNotBlocked) {
  for (int i = 0; i < 5; ++i) {
    Crash({kCommon, kBefore, kCrashing});
  }
  EXPECT_FALSE(suspects_.IsPartBlocked(now_, kCommon));
  EXPECT_FALSE(suspects_.IsPartBlocked(now_, kBefore));
}

TEST_F(CrashSuspectsTest, CrashingPartBeforeDifferentPartsIsBlockedAlone) {
  for (uint64_t i = 0; i < 3; ++i) {
    Crash({kCrashing, 10 + i});
  }
  EXPECT_TRUE(suspects_.IsPartBlocked(now_, kCrashing));
  EXPECT_FALSE(suspects_.IsPartBlocked(now_, 10));
}

TEST_F(CrashSuspectsTest, AnsweredPartIsNotBlockedByCrashesAroundIt) {
  for (int i = 0; i < 20; ++i) {
    Crash({kCommon});
    Crash({kCommon});
    suspects_.OnAnswered(now_, kCommon);
    EXPECT_FALSE(suspects_.IsSuspect(kCommon));
  }
  EXPECT_FALSE(suspects_.IsPartBlocked(now_, kCommon));
}

TEST_F(CrashSuspectsTest, ConnectionsToManyEndpointsLostTogetherBlockNothing) {
  for (uint64_t endpoint = 0; endpoint < 50; ++endpoint) {
    suspects_.OnCrash(now_, now_ + Millis(10 * static_cast<int64_t>(endpoint)),
                      endpoint, {kCommon}, ++content_);
  }
  EXPECT_FALSE(suspects_.IsPartBlocked(now_ + Millis(500), kCommon));
}

TEST_F(CrashSuspectsTest, BlockEndsAndIsRenewedByOneMoreCrash) {
  for (int i = 0; i < 3; ++i) {
    Crash({kCrashing});
  }
  EXPECT_TRUE(suspects_.IsPartBlocked(now_ + Millis(29000), kCrashing));
  now_ = now_ + Millis(31000);
  EXPECT_FALSE(suspects_.IsPartBlocked(now_, kCrashing));
  Crash({kCrashing});
  EXPECT_TRUE(suspects_.IsPartBlocked(now_ + Millis(59000), kCrashing));
  EXPECT_FALSE(suspects_.IsPartBlocked(now_ + Millis(61000), kCrashing));
  suspects_.OnTick(now_ + kHour);
  EXPECT_FALSE(suspects_.IsSuspect(kCrashing));
}

TEST_F(CrashSuspectsTest, BlocksOfInstancesDoNotEndTogether) {
  int blocked = 0;
  for (int i = 0; i < 100; ++i) {
    CrashSuspects instance(i / 100.0);
    for (uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
      instance.OnCrash(now_ + Millis(1000 * static_cast<int64_t>(endpoint)),
                       now_ + Millis(1000 * static_cast<int64_t>(endpoint)),
                       endpoint, {kCrashing}, 1000 + endpoint);
    }
    EXPECT_TRUE(instance.IsPartBlocked(now_ + Millis(32900), kCrashing));
    // A second after the first instances let requests through.
    blocked += instance.IsPartBlocked(now_ + Millis(34000), kCrashing) ? 1 : 0;
  }
  EXPECT_GT(blocked, 85);
}

TEST_F(CrashSuspectsTest, CrashesSeenByDifferentInstancesBlockThePart) {
  CrashSuspects others[3];
  for (uint64_t i = 0; i < 3; ++i) {
    now_ = now_ + Millis(1000);
    others[i].OnCrash(now_, now_, i, {kCommon, kCrashing}, ++content_);
    suspects_.OnReport(now_, others[i].MakeReport(now_, kMaxReported));
  }
  EXPECT_TRUE(suspects_.IsPartBlocked(now_, kCrashing));
  EXPECT_FALSE(suspects_.IsPartBlocked(now_, kCommon));
}

TEST_F(CrashSuspectsTest, RestartedInstanceLearnsOfBlockedPart) {
  for (int i = 0; i < 3; ++i) {
    Crash({kCommon, kCrashing});
  }
  now_ = now_ + Millis(10000);
  CrashSuspects restarted;
  restarted.OnReport(now_, suspects_.MakeReport(now_, kMaxReported));
  EXPECT_TRUE(restarted.IsPartBlocked(now_, kCrashing));
}

TEST_F(CrashSuspectsTest, AnswerSeenByOneInstanceClearsThePartAtAll) {
  CrashSuspects other;
  Crash({kCommon});
  other.OnReport(now_, suspects_.MakeReport(now_, kMaxReported));
  other.OnAnswered(now_, kCommon);
  // The report of the answer is lost; the next report of the crash renews it.
  now_ = now_ + Millis(5000);
  EXPECT_TRUE(other.MakeReport(now_, kMaxReported).empty());
  CrashSuspects late;
  late.OnCrash(now_, now_, endpoint_, {kCommon}, content_);
  other.OnReport(now_, late.MakeReport(now_, kMaxReported));
  late.OnReport(now_, other.MakeReport(now_, kMaxReported));
  EXPECT_FALSE(late.IsSuspect(kCommon));
}

TEST_F(CrashSuspectsTest, RequestsWithoutSharedPartsImplicateTheirContentOnly) {
  Crash({});
  ASSERT_EQ(suspects_.MakeReport(now_, kMaxReported).size(), 1U);
  EXPECT_EQ(suspects_.MakeReport(now_, kMaxReported)[0].units,
            std::vector<uint64_t>{content_});
}

TEST_F(CrashSuspectsTest, ContentThatCrashesTwoEndpointsIsBlockedAlone) {
  for (uint64_t endpoint = 1; endpoint <= 5; ++endpoint) {
    now_ = now_ + Millis(1000);
    suspects_.OnCrash(now_, now_, endpoint, {kCommon, kBefore}, kContent);
    EXPECT_EQ(suspects_.IsContentBlocked(now_, kContent), endpoint > 1);
  }
  EXPECT_FALSE(suspects_.IsPartBlocked(now_, kCommon));
  EXPECT_FALSE(suspects_.IsPartBlocked(now_, kBefore));
}

TEST_F(CrashSuspectsTest,
       ContentOpenAtEndpointsThatAreLostTogetherIsNotBlocked) {
  for (uint64_t endpoint = 1; endpoint <= 20; ++endpoint) {
    suspects_.OnCrash(now_, now_ + Millis(static_cast<int64_t>(endpoint)),
                      endpoint, {}, kContent);
  }
  EXPECT_FALSE(suspects_.IsContentBlocked(now_ + Millis(100), kContent));
}

TEST_F(CrashSuspectsTest, AnsweredContentIsNotBlockedByCrashesBesideIt) {
  for (uint64_t endpoint = 1; endpoint <= 20; ++endpoint) {
    suspects_.OnCrash(now_, now_, endpoint, {}, kContent);
    suspects_.OnAnswered(now_, kContent);
    EXPECT_FALSE(suspects_.IsContentBlocked(now_, kContent));
  }
}

TEST_F(CrashSuspectsTest, ContentThatCrashesAgainIsReportedBeforeNewerCrashes) {
  suspects_.OnCrash(now_, now_, 1, {}, kContent);
  now_ = now_ + Millis(1000);
  suspects_.OnCrash(now_, now_, 2, {}, kContent);
  for (uint64_t i = 0; i < 100; ++i) {
    suspects_.OnCrash(now_, now_, 3, {}, 5000 + i);
  }
  CrashSuspects other;
  other.OnReport(now_, suspects_.MakeReport(now_, kMaxReported));
  EXPECT_TRUE(other.IsContentBlocked(now_, kContent));
}

TEST_F(CrashSuspectsTest, CrashesOfBlockedPartOutlastManyOthers) {
  for (int i = 0; i < 3; ++i) {
    Crash({kCrashing});
  }
  for (uint64_t i = 0; i < 2000; ++i) {
    suspects_.OnCrash(now_, now_, 10000 + i, {}, 20000 + i);
  }
  EXPECT_TRUE(suspects_.IsPartBlocked(now_, kCrashing));
}

// Guards against a full table that forgets other crashes than the oldest ones
// if all of them implicate units that have crashed twice.
TEST_F(CrashSuspectsTest, FullTableOfCrashingUnitsDropsTheOldestCrash) {
  constexpr uint64_t kRecords = 512;
  constexpr uint64_t kUnits = 32;
  std::vector<SuspectCrash> crashes;
  for (uint64_t i = 0; i < kRecords + 100; ++i) {
    SuspectCrash& it = crashes.emplace_back();
    it.endpoint = i;
    it.implicated = ~uint32_t{0};
    // Each unit crashed two endpoints, far apart.
    const uint64_t pair = i % (kRecords / 2);
    it.age_ms = static_cast<int64_t>(1000 * (kRecords + 100 - i));
    for (uint64_t unit = 0; unit < kUnits; ++unit) {
      it.units.push_back(pair * kUnits + unit);
    }
  }
  suspects_.OnReport(now_, crashes);
  // Of the last 512 crashes, those of the first 100 pairs are the newest.
  EXPECT_EQ(suspects_.CountCrashes(0), 2);
  EXPECT_EQ(suspects_.CountCrashes(200 * kUnits), 2);
  EXPECT_EQ(suspects_.CountCrashes(99 * kUnits), 2);
}

}  // namespace
}  // namespace tamaracktrail
