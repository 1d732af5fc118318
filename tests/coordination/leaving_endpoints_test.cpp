#include "coordination/leaving_endpoints.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace tamaracktrail {
namespace {

constexpr Millis kNow{100000};

TEST(LeavingEndpointsTest, OnlyTheFirstAnnouncementIsNew) {
  LeavingEndpoints leaving;
  EXPECT_FALSE(leaving.Contains(7));
  EXPECT_TRUE(leaving.OnReport(kNow, 7));
  EXPECT_FALSE(leaving.OnReport(kNow, 7));
  EXPECT_FALSE(leaving.OnAnswer(kNow, 7));
  EXPECT_TRUE(leaving.Contains(7));
}

// An endpoint may go on to serve for a long time, and peers that were
// disconnected for as long have to be told.
TEST(LeavingEndpointsTest, IsReportedWhileAnswersSaySoAndForAWhileAfter) {
  LeavingEndpoints leaving;
  leaving.OnAnswer(kNow, 7);
  leaving.OnAnswer(kNow + Millis(60000), 7);
  EXPECT_EQ(leaving.MakeReport(kNow + Millis(89000)).size(), 1U);
  EXPECT_TRUE(leaving.MakeReport(kNow + Millis(91000)).empty());
  EXPECT_TRUE(leaving.Contains(7));
}

TEST(LeavingEndpointsTest, ReportsAndMemoryAreBoundedAndTheNewestAreKept) {
  LeavingEndpoints leaving;
  constexpr size_t kMany = 2 * LeavingEndpoints::kMaxKept;
  for (size_t i = 1; i <= kMany; ++i) {
    leaving.OnAnswer(kNow + Millis(static_cast<int64_t>(i)), i);
  }
  EXPECT_EQ(leaving.size(), LeavingEndpoints::kMaxKept);
  const auto report =
      leaving.MakeReport(kNow + Millis(static_cast<int64_t>(kMany)));
  ASSERT_EQ(report.size(), LeavingEndpoints::kMaxReported);
  EXPECT_EQ(*std::min_element(report.begin(), report.end()),
            kMany - LeavingEndpoints::kMaxReported + 1);
  EXPECT_TRUE(leaving.Contains(kMany));
}

}  // namespace
}  // namespace tamaracktrail
