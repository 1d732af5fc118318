#include "coordination/caller_diversion.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace tamaracktrail {
namespace {

constexpr Millis kTick{100};

//! Organisations.
constexpr uint64_t kHeavy = 1;
constexpr uint64_t kOthers = 2;

uint64_t Bytes(double mbps) {
  return static_cast<uint64_t>(mbps * 1e6 / 8 * 0.1);
}

//! The instances of one data centre behind a load balancer that maps one heavy
//! caller to the first instance in its order that is in rotation. The balancer
//! checks readiness once a second, and two misses take an instance out. The
//! caller's load comes over 100 connections, which stay where they were opened
//! until the instance closes them.
class DataCentre {
 public:
  explicit DataCentre(const std::vector<double>& widths)
      : widths_(widths), connections_(widths.size()), misses_(widths.size()) {
    for (const double it : widths) {
      instances_.emplace_back(it);
      instances_.back().SetInstances(widths.size());
    }
    connections_[0] = kConnections;
  }

  //! Runs for `time` with a caller of `caller_mbps`; each instance has 0.4
  //! Mbit/s of other callers.
  void Run(Millis time, double caller_mbps) {
    for (const Millis end = now_ + time; now_ < end; now_ = now_ + kTick) {
      if (now_.count() % 1000 == 0) {
        CheckReadiness();
      }
      CloseConnections();
      for (size_t i = 0; i < instances_.size(); ++i) {
        const double load = caller_mbps * connections_[i] / kConnections;
        const uint64_t n = Bytes(std::min(load + 0.4, widths_[i]));
        instances_[i].OnTraffic(now_, n, n / 2);
        instances_[i].OnRelayed(now_, kOthers, Bytes(0.4));
        instances_[i].OnRelayed(now_, kHeavy, Bytes(load));
        instances_[i].OnTick(now_);
        for (size_t to = 0; reports_ && to < instances_.size(); ++to) {
          if (to != i) {
            instances_[to].OnReport(now_, i, instances_[i].MakeReport(now_));
          }
        }
      }
      most_diverting_ = std::max(most_diverting_, CountDiverting());
    }
  }

  //! Largest use of a link, as a part of its width.
  double LargestUse() const {
    double largest = 0;
    for (size_t i = 0; i < instances_.size(); ++i) {
      largest = std::max(largest, instances_[i].UseMbps(now_) / widths_[i]);
    }
    return largest;
  }

  size_t CountDiverting() const {
    return static_cast<size_t>(
        std::count_if(instances_.begin(), instances_.end(),
                      [](const auto& it) { return it.active(); }));
  }

  size_t most_diverting() const { return most_diverting_; }
  void LoseReports() { reports_ = false; }

 private:
  static constexpr int kConnections = 100;

  void CheckReadiness() {
    for (size_t i = 0; i < instances_.size(); ++i) {
      misses_[i] = instances_[i].active() ? misses_[i] + 1 : 0;
    }
  }

  //! A fifth of the connections has an answer in each tick.
  void CloseConnections() {
    for (size_t i = 0; i < instances_.size(); ++i) {
      const int n = static_cast<int>(
          std::ceil(instances_[i].CloseFraction(now_) * connections_[i] / 5));
      connections_[i] -= n;
      connections_[Target()] += n;
    }
  }

  size_t Target() const {
    for (size_t i = 0; i < misses_.size(); ++i) {
      if (misses_[i] < 2) {
        return i;
      }
    }
    return 0;
  }

  Millis now_{1000};
  bool reports_ = true;
  std::vector<double> widths_;
  std::vector<CallerDiversion> instances_;
  std::vector<int> connections_;
  std::vector<int> misses_;
  size_t most_diverting_ = 0;
};

//! 24 instances, of which the balancer takes three narrow ones before a wide
//! one.
std::vector<double> Widths() {
  std::vector<double> widths(24, 10);
  widths[3] = 25;
  widths[7] = 200;
  return widths;
}

//! Runs for 40 s with a load between a half and the whole of `mbps`, and
//! expects that no link is full after 16 s.
void ExpectRoomForAll(DataCentre* centre, double mbps) {
  centre->Run(Millis(16000), mbps);
  for (int second = 0; second < 24; ++second) {
    centre->Run(Millis(1000), second % 10 < 5 ? mbps : mbps / 2);
    ASSERT_LT(centre->LargestUse(), 0.85) << second;
  }
}

// Load pattern: one caller of 12 Mbit/s, whose load varies. A diversion that
// ended after a fixed time sent it from narrow link to narrow link and back.
TEST(CallerDiversionTest, HeavyCallerComesToAWideLinkAndStaysThere) {
  DataCentre centre(Widths());
  ExpectRoomForAll(&centre, 12);
  EXPECT_LE(centre.most_diverting(), 3U);
}

// Load pattern: the same where all links are narrow.
TEST(CallerDiversionTest, HeavyCallerIsSpreadOverNarrowLinks) {
  DataCentre centre(std::vector<double>(24, 10));
  ExpectRoomForAll(&centre, 14);
}

TEST(CallerDiversionTest, CallersAreTakenBackOnceTheLoadIsGone) {
  DataCentre centre(Widths());
  centre.Run(Millis(15000), 12);
  ASSERT_GT(centre.CountDiverting(), 0U);
  centre.Run(Millis(12000), 0);
  EXPECT_EQ(centre.CountDiverting(), 0U);
}

TEST(CallerDiversionTest, ANarrowLinkCarriesAnOrdinaryCaller) {
  DataCentre centre(Widths());
  centre.Run(Millis(30000), 3);
  EXPECT_EQ(centre.most_diverting(), 0U);
}

// Guards against a load that takes away so many instances that the balancer
// uses all of them again.
TEST(CallerDiversionTest, FewerThanAQuarterOfTheInstancesDivert) {
  DataCentre centre(std::vector<double>(24, 10));
  centre.Run(Millis(60000), 80);
  EXPECT_GT(centre.most_diverting(), 0U);
  EXPECT_LT(centre.most_diverting(), 6U);
}

TEST(CallerDiversionTest, TheOnlyInstanceNeverDiverts) {
  DataCentre centre({10});
  centre.Run(Millis(10000), 12);
  EXPECT_EQ(centre.most_diverting(), 0U);
}

// Guards against an instance that waits for ever for news of its peers.
TEST(CallerDiversionTest, WithoutReportsCallersAreTakenBack) {
  DataCentre centre(Widths());
  centre.LoseReports();
  centre.Run(Millis(4000), 9);
  ASSERT_GT(centre.CountDiverting(), 0U);
  centre.Run(Millis(24000), 0);
  EXPECT_EQ(centre.CountDiverting(), 0U);
}

// Guards against diversions by bursts of other organisations while a heavy
// load moves.
TEST(CallerDiversionTest, ABurstOfAnotherOrganisationIsNotTakenForTheLoad) {
  CallerDiversion diversion(10);
  diversion.SetInstances(24);
  Millis now{1000};
  for (int i = 0; i < 30; ++i) {
    now = now + kTick;
    LinkLoad diverting;
    diverting.width_mbps = 10;
    diverting.organisation = kHeavy;
    diverting.diverting_ms = 100 * i;
    diversion.OnReport(now, 1, diverting);
    diversion.OnTraffic(now, Bytes(4), Bytes(2));
    diversion.OnRelayed(now, i < 20 ? kOthers : kHeavy, Bytes(4));
    diversion.OnTick(now);
    ASSERT_TRUE(i >= 20 || !diversion.active()) << i;
  }
  EXPECT_TRUE(diversion.active());
}

TEST(CallerDiversionTest, AnUnknownWidthDisablesTheDiversion) {
  DataCentre centre(std::vector<double>(8, 0));
  centre.Run(Millis(10000), 50);
  EXPECT_EQ(centre.most_diverting(), 0U);
}

}  // namespace
}  // namespace tamaracktrail
