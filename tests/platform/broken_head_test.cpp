//! Guards against answers whose status line or head breaks the rules of HTTP
//! and that reach callers all the same.

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <ostream>
#include <sstream>
#include <string>
#include <tuple>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "platform/front_fixture.h"
#include "platform/front_process_fixture.h"
#include "platform/store_client.h"
#include "support/loopback.h"
#include "support/raw_endpoint.h"
#include "support/scripted_endpoint.h"
#include "transport/event_log.h"
#include "transport/metrics.h"
#include "transport/peer_exchange.h"
#include "transport/relay/connection_pool.h"
#include "transport/relay/http_fetch.h"

namespace tamaracktrail {
namespace {

using Answer = ScriptedEndpoint::Answer;
using End = ScriptedEndpoint::End;

constexpr char kOwnFields[] = "X-Request-Id: {id}\r\nX-Server-Signature: s\r\n";
constexpr char kEvent1[] = "id: 1\ndata: x\n\n";
constexpr char kEvent2[] = "id: 2\ndata: y\n\n";

//! An answer that is complete but for what is wrong with its status line.
std::string AnswerWithStatusLine(const std::string& line) {
  return absl::StrCat(line, "\r\n", kOwnFields,
                      "Content-Length: 4\r\n\r\nbody");
}

std::string GoodAnswer() {
  return AnswerWithStatusLine("HTTP/1.1 200 OK");
}

std::string GoodStream(const std::string& events) {
  return absl::StrCat("HTTP/1.1 200 OK\r\n", kOwnFields,
                      "Content-Type: text/event-stream\r\nContent-Length: ",
                      events.size(), "\r\n\r\n", events);
}

//! A stream that breaks off after its first event.
std::string CutStream() {
  return absl::StrCat("HTTP/1.1 200 OK\r\n", kOwnFields,
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n",
                      absl::Hex(std::string(kEvent1).size()), "\r\n", kEvent1,
                      "\r\n");
}

//! A kind of route, or of request.
struct RouteKind {
  const char* name;
  const char* route;
  const char* method;
  bool repeatable;
};

constexpr RouteKind kRouteKinds[] = {{"Safe", "safe", "POST", true},
                                     {"Unsafe", "fee", "POST", false},
                                     {"Stream", "report", "POST", false},
                                     {"ResumableStream", "ask", "POST", true},
                                     {"Head", "safe", "HEAD", true},
                                     {"UnsafeHead", "fee", "HEAD", false}};

struct BrokenHead {
  const char* name;
  std::string bytes;        //!< From the status line to the end of the answer.
  bool is_typical = false;  //!< Stands for others of its kind.
};

std::ostream& operator<<(std::ostream& out, const BrokenHead& it) {
  return out << it.name;
}
std::ostream& operator<<(std::ostream& out, const RouteKind& it) {
  return out << it.name;
}

std::vector<BrokenHead> BrokenStatusLines() {
  std::vector<BrokenHead> heads;
  const auto add = [&](const char* name, const std::string& line,
                       bool is_typical = false) {
    heads.push_back({name, AnswerWithStatusLine(line), is_typical});
  };
  add("Status000", "HTTP/1.1 000 Trouble", true);
  add("Status001", "HTTP/1.1 001 Trouble");
  add("Status099", "HTTP/1.1 099 Trouble");
  add("Status600", "HTTP/1.1 600 Trouble", true);
  add("Status999", "HTTP/1.1 999 Trouble");
  add("StatusOfTwoDigits", "HTTP/1.1 20 OK");
  add("StatusOfFourDigits", "HTTP/1.1 2000 OK");
  add("StatusWithLetter", "HTTP/1.1 2x0 OK");
  add("StatusWithSign", "HTTP/1.1 +20 OK");
  add("NoStatus", "HTTP/1.1  OK");
  add("Version17", "HTTP/1.7 200 OK");
  add("Version20", "HTTP/2.0 200 OK");
  add("OtherProtocol", "HTTX/1.1 200 OK");
  add("NulInReason", absl::StrCat("HTTP/1.1 200 O", std::string(1, '\0')));
  add("ControlByteInReason", "HTTP/1.1 200 O\x01K");
  add("DeleteInReason", "HTTP/1.1 200 O\x7fK");
  add("CarriageReturnInReason", "HTTP/1.1 200 O\rK");
  // Nobody asked for another protocol.
  add("SwitchedProtocol",
      "HTTP/1.1 101 Switching Protocols\r\n\r\n"
      "HTTP/1.1 200 OK",
      true);
  // The head of an answer that is no interim answer ends the wait for one.
  add("InterimStatus000", "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK");
  add("InterimStatus099", "HTTP/1.1 099 Trouble\r\n\r\nHTTP/1.1 200 OK");
  add("Status000AfterInterim",
      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Trouble");
  // Nothing in such a head can be believed, not even that nothing ran.
  add("Status000NotRun", "HTTP/1.1 000 Trouble\r\nX-Not-Executed: 1");
  return heads;
}

//! A proper answer but for one line of its head.
std::string AnswerWithField(const std::string& line) {
  return absl::StrCat("HTTP/1.1 200 OK\r\n", kOwnFields, line,
                      "\r\nContent-Length: 4\r\n\r\nbody");
}

std::vector<BrokenHead> BrokenNames() {
  std::vector<BrokenHead> heads;
  const auto add = [&](const char* name, const std::string& line,
                       bool is_typical = false) {
    heads.push_back({name, AnswerWithField(line), is_typical});
  };
  add("BlankInName", "X Field: x", true);
  add("BlankBeforeColon", "X-Field : x");
  add("TabBeforeColon", "X-Field\t: x");
  add("TabInName", "X\tField: x");
  add("NulInName", absl::StrCat("X", std::string(1, '\0'), "Field: x"));
  add("ControlByteInName",
      "X\x01"
      "Field: x",
      true);
  add("EscapeInName",
      "X\x1b"
      "Field: x");
  add("DeleteInName",
      "X\x7f"
      "Field: x");
  add("CarriageReturnInName", "X\rField: x");
  add("HighByteInName",
      "X\xe9"
      "Field: x");
  add("ParenthesisInName", "X(Field: x");
  add("CommaInName", "X,Field: x");
  add("SlashInName", "X/Field: x");
  add("AtSignInName", "X@Field: x");
  add("BracketInName", "X[Field: x");
  add("QuoteInName", "X\"Field: x");
  add("EmptyName", ": x");
  add("NoColon", "X-Field");
  return heads;
}

//! Broken names, and other lines that are no fields.
std::vector<BrokenHead> BrokenFields() {
  std::vector<BrokenHead> heads = BrokenNames();
  const auto add = [&](const char* name, const std::string& line) {
    heads.push_back({name, AnswerWithField(line)});
  };
  add("ControlByteInValue", "X-Field: \x01");
  add("NulInValue", absl::StrCat("X-Field: ", std::string(1, '\0')));
  add("DeleteInValue", "X-Field: \x7f");
  add("CarriageReturnInValue", "X-Field: a\rb");
  // Without that line, the answer would have another body.
  add("BlankAfterContentLength", "Content-Length : 3");
  add("BlankAfterTransferEncoding", "Transfer-Encoding : chunked");
  add("BlankAfterNotRun", "X-Not-Executed : 1");
  heads.push_back({"BlankBeforeFirstField",
                   absl::StrCat("HTTP/1.1 200 OK\r\n X-Field: x\r\n",
                                kOwnFields, "Content-Length: 4\r\n\r\nbody")});
  heads.push_back(
      {"BlankInInterimField",
       absl::StrCat("HTTP/1.1 103 Early Hints\r\nX Field: x\r\n\r\n",
                    AnswerWithStatusLine("HTTP/1.1 200 OK")),
       true});
  heads.push_back({"ControlByteInInterimField",
                   absl::StrCat("HTTP/1.1 103 Early Hints\r\nX\x01: x\r\n\r\n",
                                AnswerWithStatusLine("HTTP/1.1 200 OK"))});
  return heads;
}

class BrokenHeadTest
    : public FrontTest,
      public testing::WithParamInterface<std::tuple<BrokenHead, RouteKind>> {
 protected:
  //! Sends one request to endpoints that answer from one script.
  Caller* RunAgainst(const RouteKind& kind, std::vector<Answer> answers) {
    endpoint_ = std::make_unique<ScriptedEndpoint>(&loop_, std::move(answers));
    settings_.grace_period = Millis(1000);
    const std::string request = SampleRequest(kind.route, "id-1");
    ListEndpointsAt(
        endpoint_->address(),
        request.find("X-Model") != std::string::npos ? "llm" : "app");
    return RunOne(absl::StrReplaceAll(
        request, {{"POST /", absl::StrCat(kind.method, " /")}}));
  }

  std::unique_ptr<ScriptedEndpoint> endpoint_;
};

//! An answer that breaks the rules is followed by a good one, if the request is
//! sent again.
TEST_P(BrokenHeadTest, IsNoAnswer) {
  const auto& [broken, kind] = GetParam();
  const std::string events = absl::StrCat(kEvent1, kEvent2);
  const bool is_stream = kind.route == std::string("ask");
  Caller* caller = RunAgainst(
      kind, {{broken.bytes, End::kKeepOpen},
             {is_stream ? GoodStream(events) : GoodAnswer(), End::kKeepOpen}});
  EXPECT_TRUE(caller->complete());
  EXPECT_EQ(caller->status(), kind.repeatable ? 200 : 502);
  EXPECT_EQ(endpoint_->requests(), kind.repeatable ? 2U : 1U);
  EXPECT_EQ(caller->answer().body(), !kind.repeatable ? ""
                                     : is_stream      ? events
                                     : kind.method == std::string("HEAD")
                                         ? ""
                                         : "body");
}

//! The answer comes on a connection that has carried another one.
class BrokenHeadOnReusedConnectionTest : public BrokenHeadTest {};

TEST_P(BrokenHeadOnReusedConnectionTest, IsNoAnswer) {
  const auto& [broken, kind] = GetParam();
  const bool is_stream = kind.route == std::string("ask");
  const std::string good = is_stream ? GoodStream(kEvent1) : GoodAnswer();
  endpoint_ = std::make_unique<ScriptedEndpoint>(
      &loop_, std::vector<Answer>{{good, End::kServeNext},
                                  {broken.bytes, End::kKeepOpen},
                                  {good, End::kKeepOpen}});
  settings_.grace_period = Millis(1000);
  const bool is_model = kind.route == std::string("report") || is_stream;
  ListEndpointsAt(endpoint_->address(), is_model ? "llm" : "app");
  // With one endpoint, the second request goes over the connection of the
  // first.
  store_.Put(platform::kEndpointTopic, b_.id(), "");
  Caller* second = nullptr;
  Run([&, kind = kind] {
    Caller* first = Send(SampleRequest(kind.route, "id-1"));
    AwaitOver(first, [&, kind] {
      second = Send(
          absl::StrReplaceAll(SampleRequest(kind.route, "id-2"),
                              {{"POST /", absl::StrCat(kind.method, " /")}}));
      AwaitOver(second, [] { Stop(); });
    });
  });
  ASSERT_NE(second, nullptr);
  EXPECT_TRUE(second->complete());
  EXPECT_EQ(second->status(), 502);
  EXPECT_EQ(endpoint_->requests(), 2U);
}

//! A stream is not resumed with such an answer.
class BrokenHeadOfRestTest : public BrokenHeadTest {};

TEST_P(BrokenHeadOfRestTest, IsNotTheRest) {
  const auto& [broken, kind] = GetParam();
  Caller* caller = RunAgainst(
      kind, {{CutStream(), End::kClose}, {broken.bytes, End::kKeepOpen}});
  EXPECT_FALSE(caller->complete());
  EXPECT_EQ(caller->status(), 200);
  EXPECT_EQ(caller->answer().body(), kEvent1);
}

std::string CaseName(
    const testing::TestParamInfo<std::tuple<BrokenHead, RouteKind>>& info) {
  return absl::StrCat(std::get<0>(info.param).name,
                      std::get<1>(info.param).name);
}

std::vector<BrokenHead> BrokenHeads() {
  std::vector<BrokenHead> heads = BrokenStatusLines();
  for (const BrokenHead& it : BrokenFields()) {
    heads.push_back(it);
  }
  return heads;
}

//! Those that stand for others of their kind.
std::vector<BrokenHead> TypicalHeads() {
  std::vector<BrokenHead> heads = BrokenHeads();
  std::erase_if(heads, [](const BrokenHead& it) { return !it.is_typical; });
  return heads;
}

INSTANTIATE_TEST_SUITE_P(All,
                         BrokenHeadTest,
                         testing::Combine(testing::ValuesIn(BrokenHeads()),
                                          testing::Values(kRouteKinds[1],
                                                          kRouteKinds[3])),
                         CaseName);
INSTANTIATE_TEST_SUITE_P(Typical,
                         BrokenHeadTest,
                         testing::Combine(testing::ValuesIn(TypicalHeads()),
                                          testing::Values(kRouteKinds[0],
                                                          kRouteKinds[2],
                                                          kRouteKinds[4],
                                                          kRouteKinds[5])),
                         CaseName);
INSTANTIATE_TEST_SUITE_P(Typical,
                         BrokenHeadOnReusedConnectionTest,
                         testing::Combine(testing::ValuesIn(TypicalHeads()),
                                          testing::Values(kRouteKinds[0],
                                                          kRouteKinds[1],
                                                          kRouteKinds[3])),
                         CaseName);
INSTANTIATE_TEST_SUITE_P(Typical,
                         BrokenHeadOfRestTest,
                         testing::Combine(testing::ValuesIn(TypicalHeads()),
                                          testing::Values(kRouteKinds[3])),
                         CaseName);

//! A trailer comes after the body, so the caller may have got that.
class BrokenTrailerTest : public BrokenHeadTest {
 protected:
  static std::string MakeAnswer(const std::string& type,
                                const std::string& body) {
    return absl::StrCat(
        "HTTP/1.1 200 OK\r\n", kOwnFields, "Content-Type: ", type,
        "\r\nTransfer-Encoding: chunked\r\n\r\n", absl::Hex(body.size()),
        "\r\n", body, "\r\n0\r\n", std::get<0>(GetParam()).bytes, "\r\n\r\n");
  }
};

TEST_P(BrokenTrailerTest, AnswerIsNotComplete) {
  const RouteKind& kind = std::get<1>(GetParam());
  const bool is_stream = kind.route == std::string("report");
  const std::string answer = is_stream
                                 ? MakeAnswer("text/event-stream", kEvent1)
                                 : MakeAnswer("text/plain", "body");
  Caller* caller = RunAgainst(kind, {{answer, End::kKeepOpen}});
  if (is_stream && caller->status() == 200) {
    // Events may be passed on before the trailer arrives.
    EXPECT_FALSE(caller->complete());
  } else {
    EXPECT_EQ(caller->status(), 502);
    EXPECT_TRUE(caller->complete());
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BrokenTrailerTest,
    testing::Combine(
        testing::Values(BrokenHead{"BlankInName", "X Field: x"},
                        BrokenHead{"BlankBeforeColon", "X-Field : x"},
                        BrokenHead{"ControlByteInName", "X\x01: x"},
                        BrokenHead{"NoColon", "X-Field"},
                        BrokenHead{"ControlByteInValue", "X-Field: \x01"}),
        testing::Values(kRouteKinds[0], kRouteKinds[1], kRouteKinds[2])),
    CaseName);

//! What an operator sees, and what happens to other calls of that endpoint.
using BrokenHeadProcessTest = FrontProcessTest;

TEST_F(BrokenHeadProcessTest, IsLoggedAndCountedAndOtherCallsGoOn) {
  ScriptedEndpoint endpoint(
      &loop_, {{AnswerWithStatusLine("HTTP/1.1 000 Trouble"), End::kServeNext},
               {GoodAnswer(), End::kServeNext}});
  ListEndpointsAt(endpoint.address(), "app");
  store_.Put(platform::kEndpointTopic, b_.id(), "");
  RunAndReadMetrics(SampleRequest("fee", "id-broken"));
  EXPECT_EQ(first_->status(), 502);
  EXPECT_TRUE(Served()) << ReadLog();
  const std::string line = LogLineWith("event=attempt_failed id=id-broken");
  EXPECT_NE(line.find("bad status 0"), std::string::npos) << line;
  EXPECT_NE(
      MetricsText().find("broken_answers_total{error=\"INVALID_ARGUMENT\"} 1"),
      std::string::npos)
      << MetricsText();
}

//! An endpoint that sends such answers lives on: neither the content of the
//! requests nor a part of their prompts has crashed it.
class BrokenHeadContentTest : public FrontTest,
                              public testing::WithParamInterface<BrokenHead> {
 protected:
  //! Losses of several contents at one endpoint at a time count as a crash, so
  //! that each of the two endpoints has to get some of these.
  void SendContents() {
    for (int i = 0; i < kContents; ++i) {
      const std::string id = absl::StrCat("id-", calls_.size());
      calls_.push_back(Send(absl::StrReplaceAll(
          SampleRequest("report", id),
          {{"\r\n\r\nbody", absl::StrCat("\r\n\r\nbod", i)}})));
    }
  }

  static constexpr int kContents = 8;
  std::vector<Caller*> calls_;
};

TEST_P(BrokenHeadContentTest, IsNotBlocked) {
  ScriptedEndpoint endpoint(&loop_, {{GetParam().bytes, End::kKeepOpen}});
  ListEndpointsAt(endpoint.address(), "llm");
  Run([this] {
    for (const int ms : {0, 700, 1400, 2100}) {
      loop_.After(Millis(ms), [this] { SendContents(); });
    }
    loop_.After(Millis(2800), [] { Stop(); });
  });
  ASSERT_EQ(calls_.size(), 4U * kContents);
  for (const Caller* it : calls_) {
    EXPECT_EQ(it->status(), 502);
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         BrokenHeadContentTest,
                         testing::Values(BrokenStatusLines().front(),
                                         BrokenFields().front()),
                         [](const auto& info) { return info.param.name; });

//! Answers of the store and of peers are fetched in this way.
TEST(BrokenHeadOfFetchTest, IsNoAnswer) {
  for (const BrokenHead& it : BrokenHeads()) {
    EventLoop loop;
    RawEndpoint server(&loop, it.bytes, "");
    ConnectionPool pool(&loop, [](uint64_t) {});
    absl::Status status;
    HttpFetch fetch(&loop, &pool, server.address(), "GET", "/", "",
                    Millis(2000),
                    [&](const absl::StatusOr<HttpFetch::Answer>& answer) {
                      status = answer.status();
                      loop.Quit();
                    });
    loop.Run();
    EXPECT_TRUE(absl::IsUnavailable(status)) << it << ": " << status;
  }
}

TEST(BrokenHeadOfPeerTest, IsLoggedAndCounted) {
  EventLoop loop;
  const std::string path =
      absl::StrCat(testing::TempDir(), "/broken-head-", getpid());
  const int log_fd = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  Metrics metrics;
  RawEndpoint peer(&loop, AnswerWithStatusLine("HTTP/1.1 000 Trouble"), "");
  {
    EventLog log(&loop, log_fd);
    const auto none = [] { return PeerExchange::Records(); };
    const auto fail = [](const auto&) {
      ADD_FAILURE() << "such an answer has no records";
    };
    PeerExchange exchange(&loop, &log, &metrics, ListenOnFreePort().first,
                          {none, none, fail, fail, none, fail});
    exchange.FetchConfig(peer.address());
    exchange.FetchEndpoints(peer.address());
    exchange.FetchEvacuations(peer.address());
    loop.After(Millis(200), [&] { loop.Quit(); });
    loop.Run();
  }
  close(log_fd);
  std::ostringstream log;
  log << std::ifstream(path).rdbuf();
  std::filesystem::remove(path);
  EXPECT_NE(log.str().find("bad status 0"), std::string::npos) << log.str();
  EXPECT_NE(metrics.Text().find("peer_fetches_failed_total 3"),
            std::string::npos)
      << metrics.Text();
}

//! The store's answers tell its generation; one that breaks the rules does not.
TEST(BrokenHeadOfStoreTest, IsNoAnswer) {
  for (const char* status : {"000", "099", "600"}) {
    EventLoop loop;
    EventLog log(&loop, STDOUT_FILENO);
    Metrics metrics;
    RawEndpoint store(&loop,
                      absl::StrCat("HTTP/1.1 ", status, " Trouble\r\n",
                                   platform::kStoreGenerationField,
                                   ": 7\r\nContent-Length: 2\r\n\r\n{}"),
                      "");
    platform::StoreClient client(&loop, &log, store.address(), &metrics);
    int restored = 0;
    client.SetOnRestored([&] { ++restored; });
    int failed = 0;
    const auto on_answer = [&](const auto& answer) {
      failed += absl::IsUnavailable(answer.status()) ? 1 : 0;
      loop.Quit();
    };
    client.Read("t", 1, Millis(0), 1, on_answer);
    loop.Run();
    client.List("t", "", on_answer);
    loop.Run();
    client.Append("t", nullptr, {}, on_answer);
    loop.Run();
    EXPECT_EQ(failed, 3) << status;
    EXPECT_EQ(client.generation(), -1) << status;
  }
}

}  // namespace
}  // namespace tamaracktrail
