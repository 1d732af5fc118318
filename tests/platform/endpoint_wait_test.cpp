#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>

#include "absl/strings/str_cat.h"
#include "platform/front_fixture.h"
#include "platform/wire_names.h"
#include "support/caller.h"
#include "support/sample_config.h"
#include "support/scripted_endpoint.h"
#include "support/stand_in_endpoint.h"

namespace tamaracktrail {
namespace {

constexpr Millis kWait{2500};
//! Within it the instance reads the directory again.
constexpr Millis kListTime{700};
//! Requests that are on their way when the endpoint asks.
constexpr Millis kReactionTime{500};

//! An endpoint that refuses with a time to wait, beside another one.
class EndpointWaitTest : public FrontTest,
                         public testing::WithParamInterface<const char*> {
 protected:
  //! Sends one request while b is not listed, then 30 a second for `time`.
  void RunLoad(const std::string& route, Millis time) {
    // Beside a busy endpoint, one that refuses at once looks idle.
    b_.behaviour().answer_delay = Millis(15);
    b_.behaviour().event_interval = Millis(15);
    const std::string service =
        route == "ask" || route == "report" ? "llm" : "app";
    PutEndpoint(a_, service, 2, false);
    store_.Put(platform::kEndpointTopic, b_.id(), "");
    Run([&] {
      AwaitOver(Send(SampleRequest(route, "first")), [&, route, service] {
        PutEndpoint(b_, service, 3, false);
        loop_.After(kListTime, [this, route, time] {
          SendNext(route, loop_.Now() + time);
        });
      });
    });
  }

  int Answers(int status) const {
    return static_cast<int>(
        std::count_if(callers_.begin(), callers_.end(),
                      [&](const auto& it) { return it->status() == status; }));
  }

  //! Largest number of requests that an endpoint got in the time for which one
  //! of its refusals asked for none.
  static int MostInAWait(const StandInEndpoint& endpoint) {
    int most = 0;
    for (const auto& refused : endpoint.arrivals()) {
      most = std::max<int>(
          most, std::count_if(endpoint.arrivals().begin(),
                              endpoint.arrivals().end(), [&](const auto& it) {
                                return it.at > refused.at + kReactionTime &&
                                       it.at <= refused.at + kWait;
                              }));
    }
    return most;
  }

 private:
  void SendNext(const std::string& route, Millis end) {
    if (loop_.Now() >= end) {
      loop_.After(Millis(300), [] { Stop(); });
      return;
    }
    Send(SampleRequest(route, absl::StrCat("id-", callers_.size())));
    loop_.After(Millis(33), [=, this] { SendNext(route, end); });
  }
};

// Guards against an endpoint that refuses at once drawing all requests.
TEST_P(EndpointWaitTest, GetsNoRequestsAndTheOthersServe) {
  a_.behaviour().refuse = true;
  a_.behaviour().retry_after = {"2.5"};
  RunLoad(GetParam(), Millis(5500));
  EXPECT_GE(a_.arrivals().size(), 1U);
  EXPECT_LE(MostInAWait(a_), 2);
  EXPECT_GE(Answers(200), static_cast<int>(callers_.size()) - 6);
}

INSTANTIATE_TEST_SUITE_P(Routes,
                         EndpointWaitTest,
                         testing::Values("safe", "fee", "report", "ask"));

using AllEndpointsWaitTest = EndpointWaitTest;

TEST_F(AllEndpointsWaitTest, RequestsAreRefusedAtOnceWithATimeToComeBack) {
  for (StandInEndpoint* it : {&a_, &b_}) {
    it->behaviour().refuse = true;
    it->behaviour().retry_after = {"2.5"};
  }
  RunLoad("safe", Millis(2000));
  EXPECT_LE(a_.arrivals().size() + b_.arrivals().size(), 4U);
  for (const auto& it : callers_) {
    ASSERT_TRUE(it->complete());
    EXPECT_EQ(it->status(), 503);
    EXPECT_EQ(it->answer().fields().Count("Retry-After"), 1U);
  }
}

TEST_F(AllEndpointsWaitTest, SecondTryDoesNotReachAnEndpointThatWaits) {
  a_.behaviour().refuse = true;
  a_.behaviour().retry_after = {"2.5"};
  b_.behaviour().fail = true;
  RunLoad("safe", Millis(2000));
  EXPECT_LE(MostInAWait(a_), 2);
  EXPECT_GE(Answers(500), static_cast<int>(callers_.size()) - 3);
}

TEST_F(AllEndpointsWaitTest, TimeInARefusalWithoutIdIsKept) {
  ScriptedEndpoint endpoint(
      &loop_, {{"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
                "Retry-After: 2.5\r\nContent-Length: 0\r\n\r\n"}});
  store_.Put(platform::kEndpointTopic, "a",
             a_.DirectoryEntry("app", 2, false, endpoint.address()));
  store_.Put(platform::kEndpointTopic, "b", "");
  Run([&] {
    AwaitOver(Send(SampleRequest("safe", "id-1")), [&] {
      for (int i = 0; i < 10; ++i) {
        Send(SampleRequest("safe", absl::StrCat("later-", i)));
      }
      AwaitOver(callers_.back().get(), [] { Stop(); });
    });
  });
  EXPECT_EQ(callers_.back()->status(), 503);
  EXPECT_EQ(endpoint.requests(), 1U);
}

TEST_F(AllEndpointsWaitTest, UnreadableTimeChangesNothing) {
  a_.behaviour().refuse = true;
  a_.behaviour().retry_after = {"2.5", "2.5"};
  RunLoad("safe", Millis(1500));
  EXPECT_GT(MostInAWait(a_), 2);
}

}  // namespace
}  // namespace tamaracktrail
