#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "platform/front_fixture.h"
#include "platform/wire_names.h"
#include "soak/instance_process.h"
#include "support/caller.h"
#include "support/sample_config.h"
#include "support/stand_in_endpoint.h"
#include "support/stand_in_store.h"
#include "transport/event_loop.h"

namespace tamaracktrail {
namespace {

//! `id` has four characters and is the body too, so that no two requests have
//! the same content.
std::string RequestWithParts(const std::string& id, const std::string& parts) {
  return absl::StrReplaceAll(SampleRequest("report", id),
                             {{"aa:600,bb:300", parts}, {"body", id}});
}

constexpr char kCrashingParts[] = "aa:600,dead:300";

StandInEndpoint::Behaviour CrashingBehaviour() {
  StandInEndpoint::Behaviour behaviour;
  behaviour.crash_on_part = "dead";
  behaviour.events = 100000;
  return behaviour;
}

//! Many instances in two data centres, each in its own process.
class CrashReportTest : public testing::Test {
 protected:
  //! More instances than get each other's loads across data centres.
  static constexpr int kInstances = 20;
  static constexpr int kEngines = 6;

  CrashReportTest() : store_(&loop_) {
    folder_ = absl::StrCat(testing::TempDir(), "/crash-report-", getpid());
    std::filesystem::create_directories(folder_);
    store_.Put(platform::kOperatorTopic, platform::kConfigKey,
               SampleConfig(1, 10000000));
    for (int i = 0; i < kEngines; ++i) {
      engines_.push_back(
          std::make_unique<StandInEndpoint>(&loop_, absl::StrCat("e", i)));
      engines_.back()->behaviour() = CrashingBehaviour();
      store_.Put(platform::kEndpointTopic, engines_.back()->id(),
                 engines_.back()->DirectoryEntry("llm", 2, false));
    }
    for (int i = 0; i < kInstances; ++i) {
      instances_.push_back(std::make_unique<InstanceProcess>(
          &loop_, PROGRAM, folder_, absl::StrCat("node-", i), store_.address(),
          i % 2 == 0 ? "dc-1" : "dc-2"));
    }
  }

  ~CrashReportTest() override {
    callers_.clear();
    instances_.clear();
    std::filesystem::remove_all(folder_);
  }

  Caller* Send(int instance, const std::string& request) {
    callers_.push_back(std::make_unique<Caller>(
        &loop_, instances_[instance]->callers_address(), request));
    return callers_.back().get();
  }

  //! Sends a crashing request to an instance that has sound streams on the
  //! engines, so that it sees the crash.
  void Crash(int instance, const std::function<void()>& then) {
    for (int i = 0; i < 12; ++i) {
      Send(instance, RequestWithParts(absl::StrCat("s", instance % 10, i + 10),
                                      absl::StrCat("aa:600,b", i, ":30")));
    }
    loop_.After(Millis(300), [=, this] {
      last_ = Send(instance, RequestWithParts(absl::StrCat("x", 100 + instance),
                                              kCrashingParts));
      loop_.After(Millis(1000), then);
    });
  }

  int crashed() const {
    return static_cast<int>(
        std::count_if(engines_.begin(), engines_.end(),
                      [](const auto& it) { return it->crashed(); }));
  }

  EventLoop loop_;
  StandInStore store_;
  std::string folder_;
  std::vector<std::unique_ptr<StandInEndpoint>> engines_;
  std::vector<std::unique_ptr<InstanceProcess>> instances_;
  std::vector<std::unique_ptr<Caller>> callers_;
  Caller* last_ = nullptr;
};

TEST_F(CrashReportTest, PartBlockedInOneDataCentreCrashesNothingInAnother) {
  int crashed_before = 0;
  for (auto& it : instances_) {
    it->Start();
  }
  // The instances list each other within 3 s.
  loop_.After(Millis(4500), [&] {
    Crash(0, [&] {
      Crash(2, [&] {
        Crash(4, [&] {
          crashed_before = crashed();
          last_ = Send(1, RequestWithParts("last", kCrashingParts));
          loop_.After(Millis(500), [&] { loop_.Quit(); });
        });
      });
    });
  });
  loop_.Run();
  EXPECT_EQ(crashed_before, 3);
  EXPECT_EQ(crashed(), 3);
  EXPECT_EQ(last_->status(), 503);
}

class CrashRecordTest : public FrontTest {
 protected:
  CrashRecordTest() : c_(&loop_, "c"), d_(&loop_, "d"), e_(&loop_, "e") {
    for (StandInEndpoint* it : engines_) {
      it->behaviour() = CrashingBehaviour();
      PutEndpoint(*it, "llm", 2, false);
    }
  }

  int crashed() const {
    return static_cast<int>(
        std::count_if(std::begin(engines_), std::end(engines_),
                      [](StandInEndpoint* it) { return it->crashed(); }));
  }

  void CrashEngines(int rounds, const std::function<void()>& then) {
    if (rounds == 0) {
      loop_.After(Millis(400), then);
      return;
    }
    for (int i = 0; i < 24; ++i) {
      Send(RequestWithParts(absl::StrCat("s", rounds, i + 10),
                            absl::StrCat("aa:600,b", i, ":30")));
    }
    loop_.After(Millis(300), [=, this] {
      Send(RequestWithParts(absl::StrCat("fee", rounds), kCrashingParts));
      loop_.After(Millis(700), [=, this] { CrashEngines(rounds - 1, then); });
    });
  }

  //! Sends crashing requests one after the other; no other request is open.
  //! Returns the status of the last answer.
  int SendCrashingRequests(int n) {
    Caller* last = nullptr;
    const std::function<void(int)> send = [&](int i) {
      last = Send(RequestWithParts(absl::StrCat("fee", i), kCrashingParts));
      loop_.After(Millis(700), [&, i] {
        if (i < n) {
          send(i + 1);
        } else {
          Stop();
        }
      });
    };
    Run([&] { send(1); });
    return last->status();
  }

  StandInEndpoint c_;
  StandInEndpoint d_;
  StandInEndpoint e_;
  StandInEndpoint* engines_[5] = {&a_, &b_, &c_, &d_, &e_};
};

TEST_F(CrashRecordTest, CrashThatOnlyOneConnectionShowsCounts) {
  EXPECT_EQ(SendCrashingRequests(4), 503);
  EXPECT_EQ(crashed(), 3);
}

TEST_F(CrashRecordTest, CrashBetweenEventsOfAnUnframedAnswerCounts) {
  for (StandInEndpoint* it : engines_) {
    it->behaviour().event_before_crash = true;
  }
  EXPECT_EQ(SendCrashingRequests(4), 503);
  EXPECT_EQ(crashed(), 3);
}

TEST_F(CrashRecordTest, InstanceWithoutPeersLearnsOfCrashesBeforeItsStart) {
  settings_.instance = "node-1";
  Run([&] { CrashEngines(3, [] { Stop(); }); });
  ASSERT_EQ(crashed(), 3);
  settings_.instance = "node-2";
  settings_.callers_address = FreeAddress();
  settings_.health_address = FreeAddress();
  settings_.peers_address = FreeAddress();
  settings_.metrics_address = FreeAddress();
  Caller* refused = nullptr;
  Run([&] {
    refused = Send(RequestWithParts("last", kCrashingParts));
    loop_.After(Millis(300), [] { Stop(); });
  });
  EXPECT_EQ(crashed(), 3);
  EXPECT_EQ(refused->status(), 503);
}

}  // namespace
}  // namespace tamaracktrail
