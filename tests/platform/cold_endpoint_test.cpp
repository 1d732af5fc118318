#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
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

using nlohmann::json;

//! The sample configuration, in which cold endpoints tolerate `per_second`.
std::string ConfigWithLimit(double per_second) {
  json config = json::parse(SampleConfig(1, 1000000));
  for (json& it : config["services"]) {
    it["cold_per_s"] = per_second;
  }
  return config.dump();
}

//! The entry of an endpoint that is cold for 20 s.
std::string ColdEntry(const StandInEndpoint& endpoint, int64_t sequence) {
  json entry = json::parse(endpoint.DirectoryEntry("app", sequence, false));
  entry["cold_remaining_ms"] = 20000.0;
  return entry.dump();
}

//! One instance, whose cold endpoints tolerate 2 requests a second.
class ColdEndpointTest : public FrontTest {
 protected:
  ColdEndpointTest() { PutTolerated(2); }

  void PutTolerated(double per_second) {
    store_.Put(platform::kOperatorTopic, platform::kConfigKey,
               ConfigWithLimit(per_second));
  }

  void PutCold(const StandInEndpoint& endpoint, int64_t sequence) {
    store_.Put(platform::kEndpointTopic, endpoint.id(),
               ColdEntry(endpoint, sequence));
  }

  //! Sends a request every 20 ms for a second. The instance knows the list of
  //! instances by then.
  void SendForASecond() {
    Run([&] { loop_.After(Millis(500), [&] { SendNext(50); }); });
  }

  int CountAnswers(int status) const {
    int n = 0;
    for (const auto& it : sent_) {
      n += it->status() == status ? 1 : 0;
    }
    return n;
  }

  std::vector<Caller*> sent_;

 private:
  void SendNext(int n) {
    if (n == 0) {
      loop_.After(Millis(200), [] { Stop(); });
      return;
    }
    sent_.push_back(Send(SampleRequest("safe", absl::StrCat("id-", n))));
    loop_.After(Millis(20), [this, n] { SendNext(n - 1); });
  }
};

TEST_F(ColdEndpointTest, GetsFewRequestsAndTheOtherServes) {
  PutCold(a_, 2);
  SendForASecond();
  EXPECT_LE(a_.arrivals().size(), 4U);
  EXPECT_EQ(CountAnswers(200), 50);
}

TEST_F(ColdEndpointTest, RequestsAreRefusedAtOnceIfAllAreCold) {
  PutCold(a_, 2);
  PutCold(b_, 2);
  SendForASecond();
  EXPECT_LE(a_.arrivals().size(), 4U);
  EXPECT_LE(b_.arrivals().size(), 4U);
  EXPECT_GT(CountAnswers(200), 0);
  EXPECT_GT(CountAnswers(503), 40);
  for (Caller* it : sent_) {
    EXPECT_TRUE(it->status() == 200 ||
                it->answer().fields().Find("Retry-After").has_value());
  }
}

TEST_F(ColdEndpointTest, NothingChangesWithoutALimitOfTheService) {
  PutTolerated(0);
  PutCold(a_, 2);
  PutCold(b_, 2);
  SendForASecond();
  EXPECT_EQ(CountAnswers(200), 50);
}

// Guards against instances that each keep the bound alone.
TEST(ColdEndpointOfProcessesTest, InstancesTogetherKeepTheBound) {
  constexpr int kInstances = 6;
  constexpr Millis kInterval{10};
  EventLoop loop;
  StandInStore store(&loop);
  StandInEndpoint a(&loop, "a");
  StandInEndpoint b(&loop, "b");
  const std::string folder =
      absl::StrCat(testing::TempDir(), "/cold-endpoint-", getpid());
  std::filesystem::create_directories(folder);
  store.Put(platform::kOperatorTopic, platform::kConfigKey, ConfigWithLimit(2));
  for (StandInEndpoint* it : {&a, &b}) {
    store.Put(platform::kEndpointTopic, it->id(), ColdEntry(*it, 1));
  }
  std::vector<std::unique_ptr<InstanceProcess>> instances;
  for (int i = 0; i < kInstances; ++i) {
    instances.push_back(std::make_unique<InstanceProcess>(
        &loop, PROGRAM, folder, absl::StrCat("node-", i), store.address()));
    instances.back()->Start();
  }
  std::vector<std::unique_ptr<Caller>> callers;
  const std::function<void(int)> send = [&](int n) {
    if (n == 0) {
      loop.After(Millis(300), [&] { loop.Quit(); });
      return;
    }
    callers.push_back(std::make_unique<Caller>(
        &loop, instances[callers.size() % kInstances]->callers_address(),
        SampleRequest("safe", absl::StrCat("id-", n))));
    loop.After(kInterval, [&, n] { send(n - 1); });
  };
  // The instances list each other within 3 s.
  loop.After(Millis(4500), [&] { send(300); });
  loop.Run();
  for (StandInEndpoint* it : {&a, &b}) {
    EXPECT_LE(it->MostArrivals(Millis(0), Millis(1000)), 2 * 1.5 + 5);
    EXPECT_GE(it->arrivals().size(), 4U);
  }
  callers.clear();
  instances.clear();
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace tamaracktrail
