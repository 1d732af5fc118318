#include "coordination/cold_endpoints.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace tamaracktrail {
namespace {

constexpr uint64_t kEndpoint = 7;
constexpr char kService[] = "app";
constexpr Millis kStep{5};
constexpr Millis kSecondSpan{1000};
constexpr Millis kCold{20000};

//! Requests of an instance at one time. A bucket never holds as many, so this
//! only ends a run without a limit.
constexpr int kMaxAtOnce = 100;

std::vector<uint64_t> Hashes(int n) {
  std::vector<uint64_t> hashes;
  for (int i = 0; i < n; ++i) {
    hashes.push_back(1000 + static_cast<uint64_t>(i));
  }
  return hashes;
}

//! Instances that each have more requests for one cold endpoint than they may
//! send.
class ColdFleet {
 public:
  ColdFleet(int n, double per_second) : instances_(n) {
    const std::vector<uint64_t> hashes = Hashes(n);
    for (int i = 0; i < n; ++i) {
      instances_[i].SetInstances(hashes, hashes[i]);
      instances_[i].SetServices(now_, {{kService, per_second}});
    }
  }

  std::vector<ColdEndpoints>& instances() { return instances_; }
  Millis now() const { return now_; }

  void Tell(Millis remaining) {
    for (ColdEndpoints& it : instances_) {
      it.OnEntry(now_, kEndpoint, kService, remaining);
    }
  }

  //! Runs for `time`.
  void Run(Millis time) {
    for (const Millis end = now_ + time; now_ < end; now_ = now_ + kStep) {
      for (ColdEndpoints& it : instances_) {
        if (now_.count() % 500 == 0) {
          it.OnTick(now_);
        }
        for (int i = 0; i < kMaxAtOnce && it.MaySend(now_, kEndpoint); ++i) {
          it.OnSent(now_, kEndpoint);
          sent_at_.push_back(now_);
        }
      }
    }
  }

  //! Largest number of requests in any second, both ends included.
  int MostInASecond() const {
    size_t most = 0;
    size_t begin = 0;
    for (size_t i = 0; i < sent_at_.size(); ++i) {
      while (sent_at_[i] - sent_at_[begin] > kSecondSpan) {
        ++begin;
      }
      most = std::max(most, i - begin + 1);
    }
    return static_cast<int>(most);
  }

  std::vector<Millis>& sent_at() { return sent_at_; }

 private:
  std::vector<ColdEndpoints> instances_;
  Millis now_{100000};
  std::vector<Millis> sent_at_;
};

int Allowed(double per_second) {
  return static_cast<int>(per_second * 1.5 + 5);
}

class ColdEndpointOfManyInstancesTest
    : public testing::TestWithParam<std::tuple<int, double>> {};

// Guards against a cold endpoint that crashes under the first requests of many
// instances, each of which knows only its own.
TEST_P(ColdEndpointOfManyInstancesTest, BoundIsKeptInEverySecond) {
  const auto [instances, per_second] = GetParam();
  ColdFleet fleet(instances, per_second);
  fleet.Tell(kCold);
  fleet.Run(kCold - Millis(500));
  EXPECT_LE(fleet.MostInASecond(), Allowed(per_second));
  // What the endpoint tolerates is used.
  EXPECT_GE(static_cast<double>(fleet.sent_at().size()),
            0.8 * per_second * (kCold.count() / 1000.0 - 2));
}

TEST_P(ColdEndpointOfManyInstancesTest, BoundIsKeptAfterAPause) {
  const auto [instances, per_second] = GetParam();
  ColdFleet fleet(instances, per_second);
  fleet.Tell(Millis(60000));
  fleet.Run(Millis(1000));
  // All instances have collected what they may send at once.
  const Millis later = fleet.now() + Millis(14000);
  int at_once = 0;
  for (ColdEndpoints& it : fleet.instances()) {
    for (int i = 0; i < kMaxAtOnce && it.MaySend(later, kEndpoint); ++i) {
      it.OnSent(later, kEndpoint);
      ++at_once;
    }
  }
  EXPECT_LE(at_once + per_second, Allowed(per_second));
}

TEST_P(ColdEndpointOfManyInstancesTest, BoundIsKeptWhileListsDiffer) {
  const auto [instances, per_second] = GetParam();
  ColdFleet fleet(instances, per_second);
  // Half of the instances have not read of the last two.
  std::vector<uint64_t> hashes = Hashes(instances);
  hashes.resize(hashes.size() - 2);
  for (int i = 0; i + 2 < instances; i += 2) {
    fleet.instances()[i].SetInstances(hashes, hashes[i]);
  }
  fleet.Tell(kCold);
  fleet.Run(kCold - Millis(500));
  EXPECT_LE(fleet.MostInASecond(), Allowed(per_second));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ColdEndpointOfManyInstancesTest,
    testing::Combine(testing::Values(3, 72, 90, 390),
                     testing::Values(0.5, 2.0, 6.5, 20.0)));

// Each instance returns at its own rate, so that all together begin with about
// what the cold endpoint tolerated.
TEST(ColdEndpointsTest, LoadGrowsGraduallyAfterTheColdTime) {
  ColdFleet fleet(390, 6);
  fleet.Tell(kCold);
  fleet.Run(kCold + Millis(500));
  fleet.sent_at().clear();
  fleet.Run(Millis(1000));
  EXPECT_LE(fleet.MostInASecond(), 30);
  fleet.sent_at().clear();
  fleet.Run(Millis(1000));
  EXPECT_LE(fleet.MostInASecond(), 60);
  fleet.Run(Millis(15000));
  for (const ColdEndpoints& it : fleet.instances()) {
    EXPECT_FALSE(it.IsRestricted(fleet.now(), kEndpoint));
  }
}

// An entry of the directory is written every second.
TEST(ColdEndpointsTest, EndpointMayBecomeColdAgainAndItsEntriesRenewTheTime) {
  ColdFleet fleet(72, 6);
  fleet.Tell(Millis(2000));
  fleet.Run(Millis(3000));
  for (int i = 0; i < 10; ++i) {
    fleet.Tell(kCold);
    fleet.sent_at().clear();
    fleet.Run(Millis(1000));
    EXPECT_LE(fleet.MostInASecond(), Allowed(6));
  }
  fleet.Tell(Millis(0));
  EXPECT_EQ(fleet.instances()[0].size(), 0U);
}

TEST(ColdEndpointsTest, NothingChangesWithoutALimitOfTheService) {
  ColdEndpoints cold;
  cold.SetInstances({1, 2}, 1);
  cold.SetServices(Millis(1000), {{kService, 0}});
  cold.OnEntry(Millis(1000), kEndpoint, kService, kCold);
  cold.OnEntry(Millis(1000), kEndpoint + 1, "unknown", kCold);
  cold.OnEntry(Millis(1000), kEndpoint + 2, kService, Millis(-5));
  for (uint64_t i = 0; i < 3; ++i) {
    EXPECT_FALSE(cold.IsRestricted(Millis(1001), kEndpoint + i));
    EXPECT_TRUE(cold.MaySend(Millis(1001), kEndpoint + i));
    EXPECT_EQ(cold.TimeToNext(Millis(1001), kEndpoint + i), Millis(0));
  }
  EXPECT_EQ(cold.size(), 0U);
}

// The directory is often read before the configuration.
TEST(ColdEndpointsTest, LimitFromALaterConfigurationApplies) {
  ColdEndpoints cold;
  cold.SetInstances({1}, 1);
  cold.OnEntry(Millis(1000), kEndpoint, kService, kCold);
  EXPECT_FALSE(cold.IsRestricted(Millis(1000), kEndpoint));
  cold.SetServices(Millis(2000), {{kService, 2}});
  EXPECT_TRUE(cold.IsRestricted(Millis(2000), kEndpoint));
  cold.SetServices(Millis(3000), {{kService, 0}});
  EXPECT_EQ(cold.size(), 0U);
}

TEST(ColdEndpointsTest, NothingIsSentBeforeTheInstancesAreKnown) {
  ColdEndpoints cold;
  cold.SetServices(Millis(1000), {{kService, 100}});
  cold.OnEntry(Millis(1000), kEndpoint, kService, kCold);
  EXPECT_FALSE(cold.MaySend(Millis(9000), kEndpoint));
  EXPECT_EQ(cold.TimeToNext(Millis(9000), kEndpoint), std::nullopt);
  cold.SetInstances({1}, 1);
  EXPECT_TRUE(cold.MaySend(Millis(11000), kEndpoint));
}

struct BoundsCase {
  double overage;
  double tolerance;
  double per_second;
};

class ColdBoundsTest : public testing::TestWithParam<BoundsCase> {};

// Guards against a division that fits the default bounds only.
TEST_P(ColdBoundsTest, AreKeptByAnyNumberOfInstances) {
  const BoundsCase& it = GetParam();
  for (const int instances : {1, 5, 40, 390}) {
    ColdFleet fleet(instances, it.per_second);
    for (ColdEndpoints& instance : fleet.instances()) {
      instance.SetBounds({it.overage, it.tolerance});
    }
    fleet.Tell(kCold);
    fleet.Run(Millis(10000));
    EXPECT_LE(fleet.MostInASecond(),
              std::max(1.0, it.overage * it.per_second + it.tolerance))
        << instances;
    EXPECT_FALSE(fleet.sent_at().empty()) << instances;
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         ColdBoundsTest,
                         testing::Values(BoundsCase{1, 5, 100},
                                         BoundsCase{1, 0, 10},
                                         BoundsCase{0.5, 1, 20},
                                         BoundsCase{2, 0, 3},
                                         BoundsCase{1.5, 100, 1},
                                         BoundsCase{1.5, 5, 500}));

}  // namespace
}  // namespace tamaracktrail
