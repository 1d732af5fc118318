#include <gtest/gtest.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "platform/front_fixture.h"
#include "platform/wire_names.h"
#include "support/caller.h"
#include "support/sample_config.h"
#include "support/stand_in_endpoint.h"

namespace tamaracktrail {
namespace {

using nlohmann::json;
using Regions = std::vector<std::string>;

//! Endpoint "a" is in the region "west", "b" in "east". The instance is in the
//! data centre of "a", so it prefers "a".
class AllowedRegionTest : public FrontTest {
 protected:
  AllowedRegionTest() {
    settings_.data_centre = "dc-2";
    settings_.regions = {{"dc-1", "east"}, {"dc-2", "west"}};
    PutInRegions("app", 2);
  }

  void PutInRegions(const std::string& service, int64_t sequence) {
    json entry = json::parse(a_.DirectoryEntry(service, sequence, false));
    entry["zone"] = "dc-2";
    store_.Put(platform::kEndpointTopic, a_.id(), entry.dump());
    PutEndpoint(b_, service, sequence, false);
  }

  //! Writes a configuration in which all routes and the organisation have these
  //! regions.
  void PutRegions(const Regions& route, const Regions& organisation) {
    json config = json::parse(SampleConfig(2, 1000000));
    for (json& it : config["routes"]) {
      it["allowed_regions"] = route;
    }
    config["tenants"][0]["allowed_regions"] = organisation;
    store_.Put(platform::kOperatorTopic, platform::kConfigKey, config.dump());
  }

  //! Sends `n` requests, one after the other, so that connections are reused.
  void SendSeries(int n, const std::function<void()>& then) {
    if (n == 0) {
      then();
      return;
    }
    Caller* caller = Send(SampleRequest("safe", absl::StrCat("s-", n)));
    AwaitOver(caller, [=, this] {
      last_ = caller;
      SendSeries(n - 1, then);
    });
  }

  void RunSeries() {
    Run([&] { SendSeries(20, [] { Stop(); }); });
  }

  Caller* last_ = nullptr;
};

TEST_F(AllowedRegionTest, RouteWithRegionsUsesOnlyTheirEndpoints) {
  PutRegions({"east"}, {});
  RunSeries();
  EXPECT_EQ(last_->status(), 200);
  EXPECT_TRUE(a_.arrivals().empty());
  EXPECT_EQ(b_.arrivals().size(), 20U);
}

TEST_F(AllowedRegionTest, OrganisationWithRegionsUsesOnlyTheirEndpoints) {
  PutRegions({"east", "west"}, {"east"});
  RunSeries();
  EXPECT_EQ(last_->status(), 200);
  EXPECT_TRUE(a_.arrivals().empty());
  EXPECT_EQ(b_.arrivals().size(), 20U);
}

TEST_F(AllowedRegionTest, WithoutRegionsThePreferredEndpointIsUsed) {
  PutRegions({}, {});
  RunSeries();
  EXPECT_FALSE(a_.arrivals().empty());
}

TEST_F(AllowedRegionTest, RequestWithoutAllowedEndpointIsRefusedAtOnce) {
  PutRegions({"east"}, {"west"});
  Millis sent_at;
  Millis refused_at;
  Run([&] {
    sent_at = loop_.Now();
    SendSeries(1, [&] {
      refused_at = loop_.Now();
      Stop();
    });
  });
  EXPECT_EQ(last_->status(), 503);
  EXPECT_EQ(last_->answer().fields().Count("Retry-After"), 1U);
  EXPECT_LT(refused_at - sent_at, Millis(500));
  EXPECT_TRUE(a_.arrivals().empty() && b_.arrivals().empty());
}

// Guards against a first attempt that keeps to the regions and a retry or a
// resumed stream that doesn't.
TEST_F(AllowedRegionTest, NeitherStreamsNorRetriesLeaveTheRegions) {
  PutInRegions("llm", 3);
  PutRegions({"east"}, {});
  b_.behaviour().abort_after = 2;
  Caller* stream = nullptr;
  Run([&] {
    stream = Send(SampleRequest("ask", "id-1"));
    AwaitOver(stream, [&] {
      b_.behaviour().refuse = true;
      AwaitOver(Send(SampleRequest("ask", "id-2")), [] { Stop(); });
    });
  });
  EXPECT_FALSE(stream->complete());
  EXPECT_TRUE(a_.arrivals().empty());
  EXPECT_EQ(b_.arrivals().size(), 2U);
}

}  // namespace
}  // namespace tamaracktrail
