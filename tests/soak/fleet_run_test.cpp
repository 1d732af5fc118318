#include "soak/fleet_run.h"

#include <gtest/gtest.h>

namespace tamaracktrail {
namespace {

constexpr int kSimulatedSeconds = 60;

class FleetRunTest : public testing::TestWithParam<uint64_t> {};

TEST_P(FleetRunTest, InvariantsHoldUnderRandomFaults) {
  const FleetRunReport report = RunFleet(GetParam(), kSimulatedSeconds);
  EXPECT_EQ(report.violation, "");
  EXPECT_GT(report.delivered, 0u);
}

INSTANTIATE_TEST_SUITE_P(FirstSeeds,
                         FleetRunTest,
                         testing::Range<uint64_t>(1, 13));

// Each seed exposed a fault that the commit history describes.
INSTANTIATE_TEST_SUITE_P(
    RegressionSeeds,
    FleetRunTest,
    testing::Values(81, 91, 110, 1066, 2015, 2044, 3039, 4020));

TEST(FleetRunDeterminismTest, SameSeedGivesSameRun) {
  const FleetRunReport a = RunFleet(5, 20);
  const FleetRunReport b = RunFleet(5, 20);
  EXPECT_EQ(a.calls, b.calls);
  EXPECT_EQ(a.delivered, b.delivered);
  EXPECT_EQ(a.faults, b.faults);
}

}  // namespace
}  // namespace tamaracktrail
