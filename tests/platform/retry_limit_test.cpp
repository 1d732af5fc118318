#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
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

//! Retries that a service may get in any 10 s with the settings of
//! InstanceProcess.
double AllowedRetries(size_t requests) {
  return 0.2 * static_cast<double>(requests) + 50;
}

//! An instance in its own process and two endpoints that fail each request.
class RetryLimitTest : public testing::Test {
 protected:
  RetryLimitTest() : store_(&loop_), a_(&loop_, "a"), b_(&loop_, "b") {
    folder_ = absl::StrCat(testing::TempDir(), "/retry-limit-", getpid());
    std::filesystem::create_directories(folder_);
    store_.Put(platform::kOperatorTopic, platform::kConfigKey,
               SampleConfig(1, 1000000));
    for (StandInEndpoint* it : {&a_, &b_}) {
      it->behaviour().fail = true;
      store_.Put(platform::kEndpointTopic, it->id(),
                 it->DirectoryEntry("app", 1, false));
    }
    instance_ = std::make_unique<InstanceProcess>(&loop_, PROGRAM, folder_,
                                                  "node-1", store_.address());
  }

  ~RetryLimitTest() override {
    callers_.clear();
    instance_.reset();
    std::filesystem::remove_all(folder_);
  }

  void WhenReady(const std::function<void()>& then) {
    auto probe = std::make_shared<Caller>(&loop_, instance_->health_address(),
                                          ReadinessRequest());
    loop_.After(Millis(20), [this, probe, then] {
      if (probe->finished() && probe->status() == 200) {
        then();
      } else {
        WhenReady(then);
      }
    });
  }

  //! Starts the instance, sends it `requests`, kills it, and so on `times`.
  void RunAndKill(int times, int requests) {
    if (times == 0) {
      loop_.Quit();
      return;
    }
    instance_->Start();
    WhenReady([=, this] {
      for (int i = 0; i < requests; ++i) {
        callers_.push_back(std::make_unique<Caller>(
            &loop_, instance_->callers_address(),
            SampleRequest("safe", absl::StrCat("id-", callers_.size()))));
      }
      loop_.After(Millis(500), [=, this] {
        instance_->Signal(SIGKILL);
        AwaitEnd([=, this] { RunAndKill(times - 1, requests); });
      });
    });
  }

  void AwaitEnd(const std::function<void()>& then) {
    if (!instance_->running()) {
      then();
    } else {
      loop_.After(Millis(2), [=, this] { AwaitEnd(then); });
    }
  }

  //! Arrivals at the endpoints beyond the first of each request.
  size_t Retries() const {
    std::set<std::string> ids;
    for (const StandInEndpoint* it : {&a_, &b_}) {
      for (const StandInEndpoint::Arrival& arrival : it->arrivals()) {
        ids.insert(arrival.request_id);
      }
    }
    return a_.arrivals().size() + b_.arrivals().size() - ids.size();
  }

  EventLoop loop_;
  StandInStore store_;
  StandInEndpoint a_;
  StandInEndpoint b_;
  std::string folder_;
  std::unique_ptr<InstanceProcess> instance_;
  std::vector<std::unique_ptr<Caller>> callers_;
};

// Guards against each start of an instance allowing another burst of retries.
TEST_F(RetryLimitTest, RestartsDoNotRefillTheRetryBudget) {
  const Millis began_at = loop_.Now();
  RunAndKill(/*times=*/6, /*requests=*/60);
  loop_.Run();
  ASSERT_LT(loop_.Now() - began_at, Millis(10000));
  EXPECT_LE(static_cast<double>(Retries()), AllowedRetries(callers_.size()));
  EXPECT_GT(Retries(), 10U);
}

class RetryPartTest : public FrontTest {
 protected:
  //! Sends safe requests, which both endpoints fail. Returns how many were sent
  //! to a second endpoint.
  size_t CountRetries(int requests) {
    a_.behaviour().fail = true;
    b_.behaviour().fail = true;
    Run([&] {
      for (int i = 0; i < requests; ++i) {
        Send(SampleRequest("safe", absl::StrCat("id-", i)));
      }
      Await(
          [&] {
            return std::all_of(callers_.begin(), callers_.end(),
                               [](const auto& it) { return it->finished(); });
          },
          [] { Stop(); });
    });
    return a_.arrivals().size() + b_.arrivals().size() - callers_.size();
  }
};

TEST_F(RetryPartTest, InstanceTakesItsPartOfTheBurst) {
  EXPECT_GE(CountRetries(30), 29U);
}

// Guards against an instance that could not read the list of instances taking
// the burst of the whole fleet.
TEST_F(RetryPartTest, InstanceWithoutTheListOfInstancesTakesNoRetries) {
  store_.faults().refuse_topic = platform::kInstanceTopic;
  EXPECT_EQ(CountRetries(30), 0U);
}

// Guards against a fleet that grows having two bursts.
TEST_F(RetryPartTest, NewInstanceTakesNoBurstBeforeTheOthersCountIt) {
  store_.Put(platform::kInstanceTopic, settings_.instance, "");
  EXPECT_LE(CountRetries(30), 30 * 0.2);
}

}  // namespace
}  // namespace tamaracktrail
