#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "platform/front_fixture.h"
#include "platform/wire_names.h"
#include "support/caller.h"
#include "support/sample_config.h"
#include "support/stand_in_endpoint.h"
#include "support/stand_in_store.h"

namespace tamaracktrail {
namespace {

using nlohmann::json;

//! One instance, whose cold endpoints tolerate 2 requests a second.
class ColdEndpointTest : public FrontTest {
 protected:
  ColdEndpointTest() { PutTolerated(2); }

  void PutTolerated(double per_second) {
    json config = json::parse(SampleConfig(1, 1000000));
    for (json& it : config["services"]) {
      it["cold_per_s"] = per_second;
    }
    store_.Put(platform::kOperatorTopic, platform::kConfigKey, config.dump());
  }

  void PutCold(const StandInEndpoint& endpoint, int64_t sequence) {
    json entry = json::parse(endpoint.DirectoryEntry("app", sequence, false));
    entry["cold_remaining_ms"] = 20000.0;
    store_.Put(platform::kEndpointTopic, endpoint.id(), entry.dump());
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

}  // namespace
}  // namespace tamaracktrail
