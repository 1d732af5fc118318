//! Guards against answers that end before the endpoint has taken the request,
//! and that callers get as complete.

#include <gtest/gtest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "platform/front_fixture.h"
#include "platform/front_process_fixture.h"
#include "support/early_endpoint.h"
#include "transport/relay/connection_pool.h"
#include "transport/relay/http_fetch.h"

namespace tamaracktrail {
namespace {

using End = EarlyEndpoint::End;

constexpr size_t kUploads[] = {200 * 1000, 1000 * 1000};
constexpr size_t kMaxBodyBytes = 4 * 1000 * 1000;
constexpr char kOwnFields[] = "X-Request-Id: {id}\r\nX-Server-Signature: s\r\n";
constexpr char kEvent[] = "id: 1\ndata: x\n\n";

bool IsStreamRoute(const std::string& route) {
  return route == "report" || route == "ask";
}

std::string UploadRequest(const std::string& route,
                          const std::string& id,
                          size_t bytes) {
  return absl::StrReplaceAll(
      SampleRequest(route, id),
      {{"Content-Length: 4\r\n\r\nbody",
        absl::StrCat("Content-Length: ", bytes, "\r\n\r\n",
                     std::string(bytes, 'x'))}});
}

//! A success that looks whole, with framing `fields`.
std::string MakeAnswer(const std::string& route, const std::string& fields) {
  const bool is_stream = IsStreamRoute(route);
  const std::string body = is_stream ? kEvent : "part";
  return absl::StrCat(
      "HTTP/1.1 200 OK\r\n", kOwnFields,
      "Content-Type: ", is_stream ? "text/event-stream" : "text/plain", "\r\n",
      absl::StrReplaceAll(fields, {{"{length}", absl::StrCat(body.size())}}),
      "\r\n",
      fields.find("chunked") == std::string::npos
          ? body
          : absl::StrCat(absl::Hex(body.size()), "\r\n", body,
                         "\r\n0\r\n\r\n"));
}

std::string ConfigForUploads() {
  nlohmann::json config = nlohmann::json::parse(SampleConfig(2, 1000000));
  config["limits"]["max_body_bytes"] = kMaxBodyBytes;
  return config.dump();
}

class EarlyAnswerTest : public FrontTest {
 protected:
  EarlyAnswerTest() {
    settings_.grace_period = Millis(1000);
    store_.Put(platform::kOperatorTopic, platform::kConfigKey,
               ConfigForUploads());
  }

  void UseScript(const std::string& route, EarlyEndpoint::Script script) {
    endpoint_ = std::make_unique<EarlyEndpoint>(&loop_, std::move(script));
    ListEndpointsAt(endpoint_->address(), IsStreamRoute(route) ? "llm" : "app");
  }

  //! Uploads `bytes` `n` times, one after the other.
  void Upload(const std::string& route, size_t bytes, size_t n = 1) {
    Run([=, this] { UploadNext(route, bytes, n); });
  }

  std::unique_ptr<EarlyEndpoint> endpoint_;
  std::vector<Caller*> uploads_;

 private:
  void UploadNext(const std::string& route, size_t bytes, size_t n) {
    if (n == 0) {
      Stop();
      return;
    }
    Caller* next =
        Send(UploadRequest(route, absl::StrCat("id-", callers_.size()), bytes));
    uploads_.push_back(next);
    AwaitOver(next, [=, this] { UploadNext(route, bytes, n - 1); });
  }
};

struct EarlyEnd {
  End end;
  int delay_ms;
  size_t read_before;
};

std::ostream& operator<<(std::ostream& out, const EarlyEnd& it) {
  return out << it.end << it.delay_ms << "MsRead" << it.read_before;
}

class EarlyEndTest : public EarlyAnswerTest,
                     public testing::WithParamInterface<
                         std::tuple<const char*, size_t, EarlyEnd>> {};

//! A part of an answer without a length is never passed on as the whole.
TEST_P(EarlyEndTest, IsNotTheEndOfAnAnswer) {
  constexpr size_t kTimes = 4;
  const auto& [route, bytes, it] = GetParam();
  UseScript(route, {it.read_before, MakeAnswer(route, ""), it.end,
                    Millis(it.delay_ms)});
  Upload(route, bytes, kTimes);
  ASSERT_EQ(uploads_.size(), kTimes);
  for (Caller* upload : uploads_) {
    if (IsStreamRoute(route) && upload->status() == 200) {
      EXPECT_FALSE(upload->complete());
    } else {
      EXPECT_EQ(upload->status(), 502);
      EXPECT_TRUE(upload->complete());
    }
  }
  const bool is_repeatable =
      route == std::string("safe") || route == std::string("ask");
  if (!is_repeatable) {
    EXPECT_EQ(endpoint_->requests(), kTimes);
  }
}

constexpr EarlyEnd kEarlyEnds[] = {{End::kClose, 0, 0},
                                   {End::kClose, 50, 64 * 1024},
                                   {End::kReset, 0, 0},
                                   {End::kReset, 5, 0},
                                   {End::kReset, 50, 64 * 1024},
                                   {End::kEndThenClose, 100, 0},
                                   {End::kEndThenClose, 100, 64 * 1024},
                                   {End::kEndThenReset, 100, 0},
                                   {End::kEndThenReset, 100, 64 * 1024},
                                   {End::kEndThenReset, 0, 0}};

INSTANTIATE_TEST_SUITE_P(All,
                         EarlyEndTest,
                         testing::Combine(testing::Values("fee", "report"),
                                          testing::ValuesIn(kUploads),
                                          testing::ValuesIn(kEarlyEnds)),
                         [](const auto& info) {
                           return absl::StrCat(
                               std::get<0>(info.param),
                               std::get<1>(info.param) / 1000, "kB",
                               testing::PrintToString(std::get<2>(info.param)));
                         });

//! The request waits in the buffer of the endpoint's kernel, acknowledged; only
//! the reset tells.
INSTANTIATE_TEST_SUITE_P(
    SmallUpload,
    EarlyEndTest,
    testing::Combine(testing::Values("fee", "report"),
                     testing::Values(size_t{20 * 1000}),
                     testing::Values(EarlyEnd{End::kEndThenReset, 0, 0},
                                     EarlyEnd{End::kEndThenClose, 0, 0})),
    [](const auto& info) {
      return absl::StrCat(std::get<0>(info.param),
                          testing::PrintToString(std::get<2>(info.param)));
    });
INSTANTIATE_TEST_SUITE_P(
    Repeatable,
    EarlyEndTest,
    testing::Combine(testing::Values("safe", "ask"),
                     testing::Values(kUploads[0]),
                     testing::Values(EarlyEnd{End::kEndThenReset, 100, 0},
                                     EarlyEnd{End::kReset, 5, 0})),
    [](const auto& info) {
      return absl::StrCat(std::get<0>(info.param),
                          testing::PrintToString(std::get<2>(info.param)));
    });

class EarlyAnswerRouteTest : public EarlyAnswerTest,
                             public testing::WithParamInterface<const char*> {};

INSTANTIATE_TEST_SUITE_P(Routes,
                         EarlyAnswerRouteTest,
                         testing::Values("safe", "fee", "report", "ask"));

// What has to stay right.

TEST_P(EarlyAnswerRouteTest, WithKnownEndIsDeliveredWhole) {
  for (const char* fields :
       {"Content-Length: {length}\r\n", "Transfer-Encoding: chunked\r\n"}) {
    for (const size_t bytes : kUploads) {
      UseScript(GetParam(), {0, MakeAnswer(GetParam(), fields),
                             End::kReadAndKeep, Millis(50)});
      uploads_.clear();
      Upload(GetParam(), bytes);
      ASSERT_EQ(uploads_.size(), 1U);
      EXPECT_EQ(uploads_[0]->status(), 200) << fields << bytes;
      EXPECT_TRUE(uploads_[0]->has_known_end()) << fields << bytes;
      EXPECT_EQ(endpoint_->requests(), 1U);
    }
  }
}

TEST_P(EarlyAnswerRouteTest, WithoutLengthIsDeliveredIfTheRequestWasTaken) {
  for (const size_t bytes : kUploads) {
    UseScript(GetParam(),
              {0, MakeAnswer(GetParam(), ""), End::kReadThenEnd, Millis(50)});
    uploads_.clear();
    Upload(GetParam(), bytes);
    ASSERT_EQ(uploads_.size(), 1U);
    EXPECT_EQ(uploads_[0]->status(), 200) << bytes;
    EXPECT_TRUE(uploads_[0]->complete()) << bytes;
    EXPECT_EQ(endpoint_->complete_requests(), 1U);
  }
}

//! A refusal is believed from its head, however its body ends.
TEST_P(EarlyAnswerRouteTest, RefusalStaysTrue) {
  for (const char* fields : {"Content-Length: 4\r\n", ""}) {
    for (const End end : {End::kEndThenReset, End::kEndThenClose,
                          End::kReadAndKeep, End::kReadThenEnd}) {
      if (end == End::kReadAndKeep && *fields == '\0') {
        continue;  // It has no end at all.
      }
      UseScript(GetParam(),
                {0,
                 absl::StrCat("HTTP/1.1 503 Busy\r\n", kOwnFields,
                              "X-Not-Executed: 1\r\n", fields, "\r\nbusy"),
                 end, Millis(100)});
      uploads_.clear();
      Upload(GetParam(), kUploads[0]);
      ASSERT_EQ(uploads_.size(), 1U);
      EXPECT_EQ(uploads_[0]->status(), 503) << fields << end;
      EXPECT_EQ(uploads_[0]->answer().fields().Count("Retry-After"), 1U);
      // Both endpoints were asked.
      EXPECT_EQ(endpoint_->requests(), 2U) << fields << end;
    }
  }
}

//! What an operator sees, and that the endpoint's other calls go on.
using EarlyAnswerProcessTest = FrontProcessTest;

TEST_F(EarlyAnswerProcessTest, IsLoggedAndCountedAndOtherCallsGoOn) {
  store_.Put(platform::kOperatorTopic, platform::kConfigKey,
             ConfigForUploads());
  EarlyEndpoint endpoint(
      &loop_, {0, MakeAnswer("fee", ""), End::kEndThenReset, Millis(100)});
  ListEndpointsAt(endpoint.address(), "app");
  store_.Put(platform::kEndpointTopic, b_.id(), "");
  RunAndReadMetrics(UploadRequest("fee", "id-broken", kUploads[0]));
  EXPECT_EQ(first_->status(), 502);
  EXPECT_TRUE(Served()) << ReadLog();
  const std::string line = LogLineWith("event=attempt_failed id=id-broken");
  EXPECT_NE(line.find("ended before the request was taken"), std::string::npos)
      << line;
  EXPECT_NE(MetricsText().find("broken_answers_total{error=\"DATA_LOSS\"} 1"),
            std::string::npos)
      << MetricsText();
}

//! Answers of the store are fetched in this way; peers are sent no bodies.
TEST(EarlyEndOfFetchTest, IsNoAnswer) {
  for (const End end : {End::kEndThenReset, End::kEndThenClose, End::kReset}) {
    for (const size_t bytes : kUploads) {
      EventLoop loop;
      EarlyEndpoint server(&loop,
                           {0, "HTTP/1.1 200 OK\r\n\r\n{}", end, Millis(50)});
      ConnectionPool pool(&loop, [](uint64_t) {});
      absl::Status status;
      HttpFetch fetch(&loop, &pool, server.address(), "POST", "/",
                      std::string(bytes, 'x'), Millis(2000),
                      [&](const absl::StatusOr<HttpFetch::Answer>& answer) {
                        status = answer.status();
                        loop.Quit();
                      });
      loop.Run();
      EXPECT_TRUE(absl::IsUnavailable(status))
          << end << " " << bytes << ": " << status;
    }
  }
}

}  // namespace
}  // namespace tamaracktrail
