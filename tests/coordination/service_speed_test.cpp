#include "coordination/service_speed.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <random>
#include <vector>

namespace tamaracktrail {
namespace {

constexpr Millis kNow{100000};

struct EngineType {
  double base_ms;
  double tokens_per_ms;
};

class MeasuredServiceTest : public testing::TestWithParam<EngineType> {};

// Predictions with constants were wrong by a factor of two for one engine type
// and by 30 ms for another, so that prompts were placed wrongly.
TEST_P(MeasuredServiceTest, InstancesLearnBaseTimeAndRateWithinTenSeconds) {
  const EngineType& engine = GetParam();
  std::mt19937_64 random(2);
  std::lognormal_distribution<double> tokens(7, 1.2);
  std::lognormal_distribution<double> deviation(0, 0.2);
  std::vector<ServiceSpeed> instances(24);
  for (int i = 0; i < 120; ++i) {
    for (ServiceSpeed& it : instances) {
      const double k = std::min(50000.0, tokens(random));
      const double factor = (random() % 3 == 0 ? 1.7 : 0.7) * deviation(random);
      it.OnSample(k, (engine.base_ms + k / engine.tokens_per_ms) * factor);
      if (i % 6 == 5) {
        it.OnTick(kNow + Millis(i * 83));
      }
    }
  }
  for (size_t i = 1; i < instances.size(); ++i) {
    instances[0].OnReported(i, instances[i].own());
  }
  instances[0].OnTick(kNow + Millis(120 * 83));
  EXPECT_NEAR(instances[0].base_ms(), engine.base_ms, engine.base_ms * 0.15);
  EXPECT_NEAR(instances[0].tokens_per_ms(), engine.tokens_per_ms,
              engine.tokens_per_ms * 0.15);
}

INSTANTIATE_TEST_SUITE_P(EngineTypes,
                         MeasuredServiceTest,
                         testing::Values(EngineType{62, 125},
                                         EngineType{13, 56.9},
                                         EngineType{30, 68.2}));

// An instance that has just started has no samples of its own.
TEST(ServiceSpeedTest, SamplesOfPeersCountAndReplaceEarlierOnes) {
  ServiceSpeed peer;
  for (int i = 0; i < 200; ++i) {
    peer.OnSample(1000.0 * (i % 10), 20 + 8.0 * (i % 10));
  }
  ServiceSpeed speed;
  for (int i = 0; i < 10; ++i) {
    speed.OnReported(1, peer.own());
  }
  speed.OnTick(kNow);
  peer.OnTick(kNow);
  EXPECT_NEAR(speed.base_ms(), 20, 5);
  EXPECT_NEAR(speed.tokens_per_ms(), 125, 20);
  EXPECT_DOUBLE_EQ(speed.base_ms(), peer.base_ms());
}

TEST(ServiceSpeedTest, StartsWithInitialValuesAndStaysWithinBounds) {
  ServiceSpeed speed;
  speed.OnTick(kNow);
  EXPECT_NEAR(speed.base_ms(), 45, 0.1);
  EXPECT_NEAR(speed.tokens_per_ms(), 60, 0.1);
  for (int i = 0; i < 1000; ++i) {
    speed.OnSample(0, 1e9);
    speed.OnTick(kNow + Millis(i));
  }
  EXPECT_LE(speed.base_ms(), 1000);
  EXPECT_GE(speed.tokens_per_ms(), 10);
  EXPECT_LE(speed.tokens_per_ms(), 500);
}

// A report from a faulty sender must not yield values that are no numbers.
TEST(ServiceSpeedTest, ImpossibleReportsAreIgnored) {
  const float nan = std::numeric_limits<float>::quiet_NaN();
  const float infinity = std::numeric_limits<float>::infinity();
  ServiceSpeed speed;
  speed.OnReported(1, {nan, 1, 1, 1, 1});
  speed.OnReported(2, {1, 1, infinity, 1, 1});
  speed.OnReported(3, {1, 1, 1, 1, -1});
  speed.OnTick(kNow);
  EXPECT_NEAR(speed.base_ms(), 45, 0.1);
}

}  // namespace
}  // namespace tamaracktrail
