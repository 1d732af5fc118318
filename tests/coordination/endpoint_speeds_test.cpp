#include "coordination/endpoint_speeds.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <random>
#include <set>
#include <vector>

namespace tamaracktrail {
namespace {

constexpr Millis kNow{100000};

// One instance has a sample of each endpoint in 9 s, too few to tell a third of
// slow endpoints from the others; the reports of all have to suffice, although
// some are lost or repeated.
TEST(EndpointSpeedsTest, InstancesTogetherTellSlowEndpointsFromOthers) {
  constexpr int kInstances = 24;
  constexpr uint64_t kEndpoints = 112;
  constexpr int kTicks = 200;  // of 50 ms
  std::mt19937_64 random(1);
  std::lognormal_distribution<double> deviation(0, 0.3);
  std::vector<EndpointSpeeds> instances(kInstances);
  for (int tick = 0; tick < kTicks; ++tick) {
    for (size_t i = 0; i < instances.size(); ++i) {
      if (random() % 5 < 3) {  // 12 requests a second
        const uint64_t endpoint = 1 + random() % kEndpoints;
        instances[i].OnSample(
            endpoint, (endpoint % 3 == 0 ? 1.7 : 0.7) * deviation(random));
      }
      const auto report = instances[i].MakeReport();
      ASSERT_LE(report.size(), EndpointSpeeds::kMaxReported);
      for (size_t peer = 0; peer < instances.size(); ++peer) {
        const int copies = std::vector<int>{0, 1, 1, 2}[random() % 4];
        for (int n = 0; n < copies && peer != i; ++n) {
          for (const ReportedSpeed& it : report) {
            instances[peer].OnReported(i + 1, it);
          }
        }
      }
    }
    if (tick % 10 == 0) {
      for (EndpointSpeeds& it : instances) {
        it.OnTick(kNow + Millis(tick * 50));
      }
    }
  }
  int wrong = 0;
  for (EndpointSpeeds& it : instances) {
    it.OnTick(kNow + Millis(kTicks * 50));
    for (uint64_t endpoint = 1; endpoint <= kEndpoints; ++endpoint) {
      const bool slow = it.FactorOf(endpoint) > 1.1;
      wrong += slow != (endpoint % 3 == 0) ? 1 : 0;
    }
  }
  EXPECT_LE(wrong, kInstances * static_cast<int>(kEndpoints) / 50);
}

// Datagrams may be repeated; a copy must not count twice.
TEST(EndpointSpeedsTest, RepeatedReportCountsOnce) {
  EndpointSpeeds once;
  EndpointSpeeds often;
  const ReportedSpeed report{7, 2, static_cast<float>(2 * std::log(3.0))};
  once.OnReported(1, report);
  for (int i = 0; i < 10; ++i) {
    often.OnReported(1, report);
  }
  once.OnTick(kNow);
  often.OnTick(kNow);
  EXPECT_GT(once.FactorOf(7), 1.5);
  EXPECT_EQ(once.FactorOf(7), often.FactorOf(7));
}

// A sample from before the endpoint changed must not count forever.
TEST(EndpointSpeedsTest, SamplesDecay) {
  EndpointSpeeds speeds;
  speeds.OnTick(kNow);
  for (int i = 0; i < 20; ++i) {
    speeds.OnSample(7, 3);
  }
  speeds.OnReported(1, {8, 20, 20});
  speeds.OnTick(kNow + Millis(500));
  EXPECT_GT(speeds.FactorOf(7), 2);
  EXPECT_GT(speeds.FactorOf(8), 2);
  speeds.OnTick(kNow + Millis(90000));
  EXPECT_EQ(speeds.FactorOf(7), 1);
  EXPECT_EQ(speeds.FactorOf(8), 1);
}

// A report from a faulty sender must not yield factors that are no numbers.
TEST(EndpointSpeedsTest, ImpossibleReportsAreIgnored) {
  const float nan = std::numeric_limits<float>::quiet_NaN();
  const float infinity = std::numeric_limits<float>::infinity();
  EndpointSpeeds speeds;
  for (const float samples : {nan, -1.0F, infinity, 1.0F}) {
    for (const float log_ratios : {nan, infinity, -infinity, 1000.0F}) {
      speeds.OnReported(1, {7, samples, log_ratios});
    }
  }
  speeds.OnTick(kNow);
  EXPECT_EQ(speeds.FactorOf(7), 1);
}

// Reports may be lost, and an instance may start later: endpoints without new
// samples have to be repeated, within the size of a datagram.
TEST(EndpointSpeedsTest, ReportsAreBoundedAndRepeatAllEndpoints) {
  EndpointSpeeds speeds;
  for (uint64_t endpoint = 1; endpoint <= 112; ++endpoint) {
    speeds.OnSample(endpoint, 2);
  }
  while (speeds.MakeReport().size() > 3) {
  }
  std::set<uint64_t> repeated;
  for (int i = 0; i < 40; ++i) {
    for (const ReportedSpeed& it : speeds.MakeReport()) {
      repeated.insert(it.endpoint);
    }
  }
  EXPECT_EQ(repeated.size(), 112U);
}

TEST(EndpointSpeedsTest, ForgottenEndpointIsNotReported) {
  EndpointSpeeds speeds;
  speeds.OnSample(7, 2);
  speeds.Forget(7);
  EXPECT_TRUE(speeds.MakeReport().empty());
  EXPECT_EQ(speeds.size(), 0U);
}

}  // namespace
}  // namespace tamaracktrail
