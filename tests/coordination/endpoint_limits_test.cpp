#include "coordination/endpoint_limits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <vector>

namespace tamaracktrail {
namespace {

constexpr uint64_t kEndpoint = 7;
constexpr Millis kStep{5};
constexpr Millis kSpan{4000};

//! Instances that send to one endpoint whenever they may, and what they send.
class LimitedFleet {
 public:
  explicit LimitedFleet(int instances) : instances_(instances) {
    std::vector<uint64_t> hashes;
    for (int i = 0; i < instances; ++i) {
      hashes.push_back(1000 + static_cast<uint64_t>(i));
    }
    for (int i = 0; i < instances; ++i) {
      instances_[i].SetInstances(hashes, hashes[i]);
    }
  }

  std::vector<EndpointLimits>& instances() { return instances_; }
  Millis now() const { return now_; }

  void TellAll(double per_second) {
    for (EndpointLimits& it : instances_) {
      it.OnAnswer(now_, kEndpoint, now_, per_second);
    }
  }

  //! Runs for `time`. Each request is answered at once with `answer`.
  void Run(Millis time, std::optional<double> answer) {
    for (const Millis end = now_ + time; now_ < end; now_ = now_ + kStep) {
      for (EndpointLimits& it : instances_) {
        if (now_.count() % 500 == 0) {
          it.OnTick(now_);
        }
        if (it.MaySend(now_, kEndpoint)) {
          it.OnSent(now_, kEndpoint);
          sent_at_.push_back(now_);
          it.OnAnswer(now_ + Millis(1), kEndpoint, now_, answer);
        }
      }
    }
  }

  int MostIn(Millis span) const {
    size_t most = 0;
    size_t begin = 0;
    for (size_t i = 0; i < sent_at_.size(); ++i) {
      while (sent_at_[i] - sent_at_[begin] > span) {
        ++begin;
      }
      most = std::max(most, i - begin + 1);
    }
    return static_cast<int>(most);
  }

  std::vector<Millis>& sent_at() { return sent_at_; }

 private:
  std::vector<EndpointLimits> instances_;
  Millis now_{100000};
  std::vector<Millis> sent_at_;
};

int Allowed(double per_second) {
  return static_cast<int>(per_second * 4 * 1.5 + 5);
}

class LimitOfManyInstancesTest
    : public testing::TestWithParam<std::tuple<int, double>> {};

TEST_P(LimitOfManyInstancesTest, IsKeptTogetherAndUsed) {
  const auto [instances, per_second] = GetParam();
  LimitedFleet fleet(instances);
  fleet.TellAll(per_second);
  fleet.Run(Millis(60000), per_second);
  EXPECT_LE(fleet.MostIn(kSpan), Allowed(per_second));
  EXPECT_GE(static_cast<double>(fleet.sent_at().size()), 0.8 * per_second * 60);
}

TEST_P(LimitOfManyInstancesTest, IsKeptAfterAPause) {
  const auto [instances, per_second] = GetParam();
  LimitedFleet fleet(instances);
  fleet.TellAll(per_second);
  fleet.Run(Millis(1000), per_second);
  // All instances have room for a request at once.
  const Millis later = fleet.now() + Millis(14000);
  int at_once = 0;
  for (EndpointLimits& it : fleet.instances()) {
    while (it.MaySend(later, kEndpoint)) {
      it.OnSent(later, kEndpoint);
      ++at_once;
    }
  }
  EXPECT_LE(at_once + 4 * per_second, Allowed(per_second));
}

TEST_P(LimitOfManyInstancesTest, IsKeptWhileInstancesDisagreeOnTheList) {
  const auto [instances, per_second] = GetParam();
  LimitedFleet fleet(instances);
  // Half of the instances have not heard of the last one.
  std::vector<uint64_t> hashes;
  for (int i = 0; i + 1 < instances; ++i) {
    hashes.push_back(1000 + static_cast<uint64_t>(i));
  }
  for (int i = 0; i + 1 < instances; i += 2) {
    fleet.instances()[i].SetInstances(hashes, hashes[i]);
  }
  fleet.TellAll(per_second);
  fleet.Run(Millis(30000), per_second);
  EXPECT_LE(fleet.MostIn(kSpan), Allowed(per_second));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LimitOfManyInstancesTest,
    testing::Combine(testing::Values(2, 8, 85, 390),
                     testing::Values(0.2, 1.1, 5.0, 50.0)));

TEST(EndpointLimitsTest, LimitOfZeroLeavesRareRequestsThatShowItsEnd) {
  LimitedFleet fleet(85);
  fleet.TellAll(0);
  fleet.Run(Millis(120000), 0.0);
  EXPECT_LE(fleet.MostIn(kSpan), Allowed(0));
  EXPECT_GE(fleet.sent_at().size(), 1U);
}

TEST(EndpointLimitsTest, HugeLimitLimitsNothing) {
  EndpointLimits limits;
  limits.SetInstances({1, 2}, 1);
  limits.OnAnswer(Millis(1000), kEndpoint, Millis(990), 1e300);
  for (int i = 0; i < 10000; ++i) {
    ASSERT_TRUE(limits.MaySend(Millis(1010), kEndpoint));
    limits.OnSent(Millis(1010), kEndpoint);
  }
}

TEST(EndpointLimitsTest, NothingIsSentBeforeTheInstancesAreKnown) {
  EndpointLimits limits;
  EXPECT_TRUE(limits.MaySend(Millis(1000), kEndpoint));
  limits.OnAnswer(Millis(1000), kEndpoint, Millis(990), 5);
  EXPECT_FALSE(limits.MaySend(Millis(9000), kEndpoint));
  limits.SetInstances({1}, 1);
  EXPECT_TRUE(limits.MaySend(Millis(19000), kEndpoint));
}

TEST(EndpointLimitsTest, AnswerToAnEarlierRequestDoesNotEndALimit) {
  EndpointLimits limits;
  limits.SetInstances({1}, 1);
  limits.OnAnswer(Millis(1000), kEndpoint, Millis(900), 5);
  EXPECT_EQ(limits.OnAnswer(Millis(1010), kEndpoint, Millis(950), std::nullopt),
            EndpointLimits::Change::kNone);
  EXPECT_TRUE(limits.IsLimited(kEndpoint));
  EXPECT_EQ(
      limits.OnAnswer(Millis(1100), kEndpoint, Millis(1050), std::nullopt),
      EndpointLimits::Change::kEnded);
  EXPECT_FALSE(limits.IsLimited(kEndpoint));
}

TEST(EndpointLimitsTest, EndedLimitGivesTheLoadBackWithoutAWave) {
  LimitedFleet fleet(85);
  fleet.TellAll(1.1);
  fleet.Run(Millis(5000), 1.1);
  for (EndpointLimits& it : fleet.instances()) {
    it.OnAnswer(fleet.now(), kEndpoint, fleet.now(), std::nullopt);
  }
  fleet.sent_at().clear();
  const Millis end = fleet.now();
  fleet.Run(Millis(3000), std::nullopt);
  EXPECT_LE(fleet.MostIn(Millis(100)), 30);
  fleet.Run(Millis(12000), std::nullopt);
  for (const EndpointLimits& it : fleet.instances()) {
    EXPECT_TRUE(it.MaySend(fleet.now(), kEndpoint));
  }
  EXPECT_GT(end, Millis(0));
}

TEST(EndpointLimitsTest, LimitWithoutNewsIsTriedByFewAtATime) {
  LimitedFleet fleet(85);
  // Those that send nothing have missed the end of the limit.
  fleet.TellAll(1.1);
  fleet.Run(Millis(300000), 1.1);
  EXPECT_LE(fleet.MostIn(kSpan), Allowed(1.1));
  // Somewhat more than the limit, as those instances try too.
  EXPECT_GE(fleet.sent_at().size(), 1.02 * 1.1 * 300);
}

TEST(EndpointLimitsTest, PeersTellLimitsAndTheirEnds) {
  EndpointLimits told;
  EndpointLimits peer;
  told.SetInstances({1, 2}, 1);
  peer.SetInstances({1, 2}, 2);
  told.OnAnswer(Millis(1000), kEndpoint, Millis(990), 0.5);
  ASSERT_EQ(told.MakeReport(Millis(1010)).size(), 1U);
  EXPECT_EQ(peer.OnReport(Millis(1010), told.MakeReport(Millis(1010))[0]),
            EndpointLimits::Change::kNamed);
  EXPECT_EQ(peer.LimitOf(kEndpoint), 0.5);
  // A peer passes nothing on that it was not told itself.
  EXPECT_TRUE(peer.MakeReport(Millis(1020)).empty());
  told.OnAnswer(Millis(3000), kEndpoint, Millis(2990), std::nullopt);
  EXPECT_EQ(peer.OnReport(Millis(3010), told.MakeReport(Millis(3010))[0]),
            EndpointLimits::Change::kEnded);
  EXPECT_FALSE(peer.IsLimited(kEndpoint));
}

TEST(EndpointLimitsTest, OlderReportDoesNotReplaceNewerNews) {
  EndpointLimits limits;
  limits.SetInstances({1}, 1);
  limits.OnAnswer(Millis(10000), kEndpoint, Millis(9990), 0.5);
  EXPECT_EQ(limits.OnReport(Millis(10100), {kEndpoint, -1, 200}),
            EndpointLimits::Change::kNone);
  EXPECT_EQ(limits.OnReport(Millis(10100), {kEndpoint, 7, 200}),
            EndpointLimits::Change::kNone);
  EXPECT_EQ(limits.LimitOf(kEndpoint), 0.5);
  EXPECT_EQ(limits.OnReport(Millis(10100), {kEndpoint, -1, 20}),
            EndpointLimits::Change::kEnded);
}

TEST(EndpointLimitsTest, UnusableValuesInReportsAreIgnored) {
  EndpointLimits limits;
  limits.SetInstances({1}, 1);
  for (const double it : {std::numeric_limits<double>::quiet_NaN(),
                          std::numeric_limits<double>::infinity(), -1.0}) {
    limits.OnReport(Millis(100000), {kEndpoint, it, 0});
  }
  limits.OnReport(Millis(100000), {kEndpoint, 5, -7});
  EXPECT_FALSE(limits.IsLimited(kEndpoint));
}

}  // namespace
}  // namespace tamaracktrail
