#include "coordination/prompt_part_guard.h"

#include <gtest/gtest.h>

#include <vector>

namespace tamaracktrail {
namespace {

constexpr Millis kNow{100000};
constexpr uint64_t kCommon = 1;
constexpr uint64_t kBefore = 2;
constexpr uint64_t kCrashing = 3;
constexpr size_t kMaxReported = 24;

class PromptPartGuardTest : public testing::Test {
 protected:
  //! Another endpoint crashes, a second after the last one.
  void Crash(const std::vector<uint64_t>& parts) {
    now_ = now_ + Millis(1000);
    guard_.OnCrash(now_, now_, ++endpoint_, parts);
  }

  PromptPartGuard guard_;
  Millis now_ = kNow;
  uint64_t endpoint_ = 100;
};

TEST_F(PromptPartGuardTest, PartThatCrashesThreeEndpointsIsBlocked) {
  Crash({kCommon, kBefore, kCrashing});
  Crash({kCommon, kBefore, kCrashing});
  EXPECT_FALSE(guard_.IsBlocked(now_, kCrashing));
  EXPECT_TRUE(guard_.IsSuspect(kCrashing));
  Crash({kCommon, kBefore, kCrashing});
  EXPECT_TRUE(guard_.IsBlocked(now_, kCrashing));
}

TEST_F(PromptPartGuardTest, SoundPartsBeforeTheCrashingOneAreNotBlocked) {
  for (int i = 0; i < 5; ++i) {
    Crash({kCommon, kBefore, kCrashing});
  }
  EXPECT_FALSE(guard_.IsBlocked(now_, kCommon));
  EXPECT_FALSE(guard_.IsBlocked(now_, kBefore));
}

TEST_F(PromptPartGuardTest, CrashingPartBeforeDifferentPartsIsBlockedAlone) {
  for (uint64_t i = 0; i < 3; ++i) {
    Crash({kCrashing, 10 + i});
  }
  EXPECT_TRUE(guard_.IsBlocked(now_, kCrashing));
  EXPECT_FALSE(guard_.IsBlocked(now_, 10));
}

TEST_F(PromptPartGuardTest, AnsweredPartIsNotBlockedByCrashesAroundIt) {
  for (int i = 0; i < 20; ++i) {
    Crash({kCommon});
    Crash({kCommon});
    guard_.OnAnswered(now_, kCommon);
    EXPECT_FALSE(guard_.IsSuspect(kCommon));
  }
  EXPECT_FALSE(guard_.IsBlocked(now_, kCommon));
}

TEST_F(PromptPartGuardTest,
       ConnectionsToManyEndpointsLostTogetherBlockNothing) {
  for (uint64_t endpoint = 0; endpoint < 50; ++endpoint) {
    guard_.OnCrash(now_, now_ + Millis(10 * static_cast<int64_t>(endpoint)),
                   endpoint, {kCommon});
  }
  EXPECT_FALSE(guard_.IsBlocked(now_ + Millis(500), kCommon));
}

TEST_F(PromptPartGuardTest, BlockEndsAndIsRenewedByOneMoreCrash) {
  for (int i = 0; i < 3; ++i) {
    Crash({kCrashing});
  }
  EXPECT_TRUE(guard_.IsBlocked(now_ + Millis(29000), kCrashing));
  now_ = now_ + Millis(31000);
  EXPECT_FALSE(guard_.IsBlocked(now_, kCrashing));
  Crash({kCrashing});
  EXPECT_TRUE(guard_.IsBlocked(now_ + Millis(59000), kCrashing));
  EXPECT_FALSE(guard_.IsBlocked(now_ + Millis(61000), kCrashing));
  guard_.OnTick(now_ + kHour);
  EXPECT_FALSE(guard_.IsSuspect(kCrashing));
}

TEST_F(PromptPartGuardTest, CrashesSeenByDifferentInstancesBlockThePart) {
  PromptPartGuard others[3];
  for (uint64_t i = 0; i < 3; ++i) {
    now_ = now_ + Millis(1000);
    others[i].OnCrash(now_, now_, i, {kCommon, kCrashing});
    guard_.OnReport(now_, others[i].MakeReport(now_, kMaxReported));
  }
  EXPECT_TRUE(guard_.IsBlocked(now_, kCrashing));
  EXPECT_FALSE(guard_.IsBlocked(now_, kCommon));
}

TEST_F(PromptPartGuardTest, RestartedInstanceLearnsOfBlockedPart) {
  for (int i = 0; i < 3; ++i) {
    Crash({kCommon, kCrashing});
  }
  now_ = now_ + Millis(10000);
  PromptPartGuard restarted;
  restarted.OnReport(now_, guard_.MakeReport(now_, kMaxReported));
  EXPECT_TRUE(restarted.IsBlocked(now_, kCrashing));
}

TEST_F(PromptPartGuardTest, AnswerSeenByOneInstanceClearsThePartAtAll) {
  PromptPartGuard other;
  Crash({kCommon});
  other.OnReport(now_, guard_.MakeReport(now_, kMaxReported));
  other.OnAnswered(now_, kCommon);
  // The report of the answer is lost; the next report of the crash renews it.
  now_ = now_ + Millis(5000);
  EXPECT_TRUE(other.MakeReport(now_, kMaxReported).empty());
  PromptPartGuard late;
  late.OnCrash(now_, now_, endpoint_, {kCommon});
  other.OnReport(now_, late.MakeReport(now_, kMaxReported));
  late.OnReport(now_, other.MakeReport(now_, kMaxReported));
  EXPECT_FALSE(late.IsSuspect(kCommon));
}

TEST_F(PromptPartGuardTest, RequestsWithoutSharedPartsImplicateNothing) {
  Crash({});
  EXPECT_TRUE(guard_.MakeReport(now_, kMaxReported).empty());
}

}  // namespace
}  // namespace tamaracktrail
