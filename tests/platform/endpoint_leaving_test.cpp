#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "platform/front_fixture.h"
#include "platform/wire_names.h"
#include "protocol/call_dialect.h"
#include "protocol/http_fields.h"
#include "soak/instance_process.h"
#include "support/caller.h"
#include "support/sample_config.h"
#include "support/stand_in_endpoint.h"
#include "support/stand_in_store.h"
#include "transport/event_loop.h"

namespace tamaracktrail {
namespace {

//! An instance whose only endpoint at first is `a_`.
class EndpointLeavingTest : public FrontTest {
 protected:
  EndpointLeavingTest() {
    store_.Put(platform::kEndpointTopic, "b", "");
    a_.behaviour().leaving = {"1"};
  }

  //! Sends two requests, the second after the answer to the first.
  void SendTwo(const std::string& route) {
    Run([&] {
      first_ = Send(SampleRequest(route, "id-1"));
      AwaitOver(first_, [&] {
        second_ = Send(SampleRequest(route, "id-2"));
        AwaitOver(second_, [] { Stop(); });
      });
    });
  }

  Caller* first_ = nullptr;
  Caller* second_ = nullptr;
};

TEST_F(EndpointLeavingTest, AnswerIsForwardedAndTheNextRequestIsNotSent) {
  SendTwo("safe");
  EXPECT_EQ(first_->status(), 200);
  EXPECT_EQ(first_->answer().fields().Find("Server-Leaving"), "1");
  EXPECT_EQ(second_->status(), 503);
  EXPECT_EQ(a_.arrivals().size(), 1U);
}

TEST_F(EndpointLeavingTest, NoticeInARefusalIsKept) {
  a_.behaviour().refuse = true;
  SendTwo("safe");
  EXPECT_EQ(second_->status(), 503);
  EXPECT_EQ(a_.arrivals().size(), 1U);
}

TEST_F(EndpointLeavingTest, NoticeInAnErrorIsKept) {
  a_.behaviour().fail = true;
  SendTwo("fee");
  EXPECT_EQ(first_->status(), 500);
  EXPECT_EQ(second_->status(), 503);
  EXPECT_EQ(a_.arrivals().size(), 1U);
}

TEST_F(EndpointLeavingTest, OpenStreamContinuesAndIsForwardedInFull) {
  PutEndpoint(a_, "llm", 2, false);
  a_.behaviour().event_interval = Millis(50);
  Caller* stream = nullptr;
  Caller* later = nullptr;
  Run([&] {
    stream = Send(SampleRequest("report", "id-1"));
    Await([&] { return stream->status() == 200; },
          [&] {
            later = Send(SampleRequest("report", "id-2"));
            AwaitOver(later, [&] {
              EXPECT_FALSE(stream->finished());
              AwaitOver(stream, [] { Stop(); });
            });
          });
  });
  EXPECT_EQ(stream->status(), 200);
  EXPECT_TRUE(stream->complete());
  EXPECT_EQ(stream->answer().body(), SampleStreamBody());
  EXPECT_EQ(later->status(), 503);
  EXPECT_EQ(a_.arrivals().size(), 1U);
}

TEST_F(EndpointLeavingTest, DirectoryDoesNotWithdrawTheNotice) {
  Caller* later = nullptr;
  Run([&] {
    AwaitOver(Send(SampleRequest("safe", "id-1")), [&] {
      PutEndpoint(a_, "app", 9, false);
      loop_.After(Millis(900), [&] {
        later = Send(SampleRequest("safe", "id-2"));
        AwaitOver(later, [] { Stop(); });
      });
    });
  });
  EXPECT_EQ(later->status(), 503);
  EXPECT_EQ(a_.arrivals().size(), 1U);
}

TEST_F(EndpointLeavingTest, NoticeOfAnotherEndpointAtTheAddressIsNotBelieved) {
  // The endpoint at the address of b is a, and answers 421.
  store_.Put(platform::kEndpointTopic, "a", "");
  store_.Put(platform::kEndpointTopic, "b",
             b_.DirectoryEntry("app", 2, false, a_.address()));
  SendTwo("safe");
  EXPECT_EQ(a_.arrivals().size(), 2U);
}

TEST_F(EndpointLeavingTest, NoticeThatIsNotSignedIsNotBelieved) {
  a_.behaviour().unsigned_answer = true;
  SendTwo("safe");
  EXPECT_EQ(a_.arrivals().size(), 2U);
}

TEST_F(EndpointLeavingTest, UnusableNoticeChangesNothing) {
  a_.behaviour().leaving = {"1", "1"};
  SendTwo("safe");
  EXPECT_EQ(second_->status(), 200);
  EXPECT_EQ(a_.arrivals().size(), 2U);
}

TEST(LeavingFieldTest, OnlyASingleOneAnnouncesIt) {
  const CallDialect dialect = platform::MakeCallDialect();
  const auto parse = [&](const std::vector<std::string>& values) {
    HttpFields fields;
    for (const std::string& it : values) {
      fields.Add("server-leaving", it);
    }
    return dialect.parse_leaving(fields);
  };
  EXPECT_FALSE(*parse({}));
  EXPECT_FALSE(*parse({"0"}));
  EXPECT_TRUE(*parse({"1"}));
  for (const char* it : {"", "2", "true", "1, 1", "-1"}) {
    EXPECT_FALSE(parse({it}).ok()) << it;
  }
  EXPECT_FALSE(parse({"1", "1"}).ok());
}

// Guards against instances that each have to find out by a request of their
// own. The directory never says that the endpoint drains.
TEST(LeavingReportTest, OtherInstancesLearnItFromReports) {
  EventLoop loop;
  StandInStore store(&loop);
  StandInEndpoint endpoint(&loop, "e");
  const std::string folder =
      absl::StrCat(testing::TempDir(), "/endpoint-leaving-", getpid());
  std::filesystem::create_directories(folder);
  store.Put(platform::kOperatorTopic, platform::kConfigKey,
            SampleConfig(1, 100000000));
  store.Put(platform::kEndpointTopic, endpoint.id(),
            endpoint.DirectoryEntry("app", 2, false));
  endpoint.behaviour().leaving = {"1"};
  std::vector<std::unique_ptr<InstanceProcess>> instances;
  for (int i = 0; i < 2; ++i) {
    instances.push_back(std::make_unique<InstanceProcess>(
        &loop, PROGRAM, folder, absl::StrCat("node-", i), store.address()));
    instances.back()->Start();
  }
  std::vector<std::unique_ptr<Caller>> callers;
  const auto send = [&](size_t instance) {
    callers.push_back(std::make_unique<Caller>(
        &loop, instances[instance]->callers_address(),
        SampleRequest("safe", absl::StrCat("id-", instance))));
  };
  // The instances list each other within 3 s.
  loop.After(Millis(4500), [&] { send(0); });
  loop.After(Millis(5500), [&] { send(1); });
  loop.After(Millis(6000), [&] { loop.Quit(); });
  loop.Run();
  EXPECT_EQ(callers[0]->status(), 200);
  EXPECT_EQ(callers[1]->status(), 503);
  EXPECT_EQ(endpoint.arrivals().size(), 1U);
  callers.clear();
  instances.clear();
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace tamaracktrail
