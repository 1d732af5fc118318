//! Guards against messages that never end and are kept in memory until the
//! process has none left.

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "coordination/endpoint_observation.h"
#include "coordination/endpoint_spec.h"
#include "coordination/upstream_event.h"
#include "protocol/http_reader.h"
#include "support/client_context.h"
#include "support/loopback.h"
#include "support/raw_endpoint.h"
#include "support/server_thread.h"
#include "transport/endpoint_prober.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/internal/upstream_call.h"
#include "transport/metrics.h"
#include "transport/relay/caller_connection.h"
#include "transport/relay/caller_request.h"
#include "transport/relay/connection_pool.h"
#include "transport/relay/fixed_answer_task.h"
#include "transport/relay/http_fetch.h"
#include "transport/relay/relay_server.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {
namespace {

constexpr size_t kMebibyte = 1024 * 1024;
//! Bytes after which a message has to be given up. Includes the buffers of the
//! kernel.
constexpr size_t kMaxAcceptedBytes = 16 * kMebibyte;
constexpr size_t kFillerBytes = 64 * 1024;

//! A message that goes on with `filler` for ever; `head` lacks the start line
//! and the empty line.
struct EndlessMessage {
  const char* name;
  const char* head;
  std::string body;
  std::string filler;
};

std::ostream& operator<<(std::ostream& out, const EndlessMessage& it) {
  return out << it.name;
}

std::string Repeat(const std::string& text) {
  std::string all;
  while (all.size() < kFillerBytes) {
    all += text;
  }
  return all;
}

constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n";

const EndlessMessage kChunkMessages[] = {
    {"ChunkSize", kChunked, "", Repeat("0")},
    {"SecondChunkSize", kChunked, "1\r\nx\r\n", Repeat("0")},
    {"ChunkExtension", kChunked, "1;a=", Repeat("x")},
    {"LastChunkExtension", kChunked, "0;a=", Repeat("x")},
    {"TrailerField", kChunked, "0\r\nX-T: ", Repeat("x")},
    {"TrailerFields", kChunked, "0\r\n", Repeat("X-T: x\r\n")},
    {"ChunkedBody", kChunked, "", Repeat("10\r\n0123456789abcdef\r\n")},
    {"OneChunk", kChunked, "fffffffffff\r\n", Repeat("x")}};

const EndlessMessage kOtherMessages[] = {
    {"Head", "X-A: ", "", Repeat("x")},
    {"HeadFields", "", "", Repeat("X-A: x\r\n")},
    {"BodyWithLength", "Content-Length: 99999999999\r\n", "", Repeat("x")}};

//! Requests have no such body.
const EndlessMessage kBodyToTheEndOfTheConnection = {
    "BodyToTheEndOfTheConnection", "", "", Repeat("x")};

std::string MakeBytes(const std::string& start_line, const EndlessMessage& it) {
  const bool is_head = std::string(it.name).find("Head") == 0;
  return absl::StrCat(start_line, "\r\nHost: h\r\n", it.head,
                      is_head ? "" : "\r\n", it.body);
}

class EndlessAnswerTest : public testing::TestWithParam<EndlessMessage> {};
class EndlessRequestTest : public testing::TestWithParam<EndlessMessage> {};

TEST_P(EndlessAnswerTest, ReaderGivesUp) {
  HttpReader reader(HttpReader::Kind::kResponse, kFillerBytes, kMebibyte);
  std::string buf = MakeBytes("HTTP/1.1 200 OK", GetParam());
  absl::Status status;
  for (size_t n = 0; n < kMaxAcceptedBytes && status.ok(); n += kFillerBytes) {
    buf += GetParam().filler;
    status = reader.Feed(&buf);
  }
  EXPECT_TRUE(absl::IsResourceExhausted(status) || absl::IsOutOfRange(status))
      << status;
  EXPECT_LT(buf.size() + reader.body().size(), 2 * kMebibyte);
}

//! Answers of the store and of peers are fetched in this way.
TEST_P(EndlessAnswerTest, FetchFails) {
  EventLoop loop;
  RawEndpoint server(&loop, MakeBytes("HTTP/1.1 200 OK", GetParam()),
                     GetParam().filler);
  ConnectionPool pool(&loop, [](uint64_t) {});
  absl::Status status;
  HttpFetch fetch(&loop, &pool, server.address(), "GET", "/", "", Millis(4000),
                  [&](const absl::StatusOr<HttpFetch::Answer>& answer) {
                    status = answer.status();
                    loop.Quit();
                  });
  loop.After(Millis(5000), [&] { loop.Quit(); });
  loop.Run();
  EXPECT_TRUE(absl::IsUnavailable(status)) << status;
  EXPECT_LT(server.sent(), kMaxAcceptedBytes);
}

//! Answers of endpoints' health checks and of the log are fetched in this way.
TEST_P(EndlessAnswerTest, HttpClientGivesUp) {
  ServerThread<RawEndpoint> server(MakeBytes("HTTP/1.1 200 OK", GetParam()),
                                   GetParam().filler);
  ClientContext context;
  HttpClient client;
  HttpClient::Request request;
  request.url = absl::StrCat("http://", server.address(), "/");
  request.timeout = Millis(1500);
  request.max_body_bytes = kMebibyte;
  std::optional<absl::Status> status;
  client.Send(request, [&](auto reply) { status = reply.status(); });
  context.RunUntil([&] { return status.has_value(); }, Millis(5000));
  EXPECT_TRUE(status.has_value());
  // libsoup takes some of these as complete; what counts is that it stops.
  EXPECT_LT(server.Stop(), kMaxAcceptedBytes);
}

TEST(EndlessEventTest, CallOfTheOwnInterfaceFails) {
  ServerThread<RawEndpoint> server(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ",
      Repeat("x"));
  ClientContext context;
  HttpClient client;
  UpstreamCall::Request request;
  request.url = absl::StrCat("http://", server.address(), "/");
  request.streamed = true;
  std::optional<UpstreamEvent::Kind> kind;
  auto call = std::make_unique<UpstreamCall>(
      client.session(), request,
      [&](const UpstreamEvent& event) { kind = event.kind; });
  context.RunUntil([&] { return kind.has_value(); }, Millis(1500));
  EXPECT_EQ(kind, UpstreamEvent::Kind::kConnectionLost);
  EXPECT_LT(server.Stop(), kMaxAcceptedBytes);
}

// Guards against a health answer of the wrong types ending the process.
TEST(HealthAnswerTest, ValuesOfOtherTypesCountAsDown) {
  for (const char* body : {R"({"load": "many"})", R"({"leaving": "soon"})",
                           R"({"boot_id": 7})", R"({"loaded": [1, 2]})"}) {
    ServerThread<RawEndpoint> server(
        absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ",
                     std::string(body).size(), "\r\n\r\n", body),
        "");
    ClientContext context;
    HttpClient client;
    EndpointProber prober(&client, [](const EndpointObservation&) {});
    EndpointSpec endpoint;
    endpoint.name = "e";
    endpoint.address = server.address();
    std::optional<EndpointHealth> health;
    prober.ProbeNow(Millis(1), endpoint,
                    [&](const EndpointObservation& it) { health = it.health; });
    context.RunUntil([&] { return health.has_value(); }, Millis(5000));
    EXPECT_EQ(health, EndpointHealth::kDown) << body;
  }
}

//! Sends bytes and then a filler until the connection ends or it has sent
//! kMaxAcceptedBytes.
class EndlessSender : private TcpStream::Observer {
 public:
  EndlessSender(EventLoop* loop,
                const std::string& address,
                std::string bytes,
                std::string filler)
      : loop_(loop),
        bytes_(std::move(bytes)),
        filler_(std::move(filler)),
        stream_(*TcpStream::Connect(loop, address, Millis(5000), this)) {}

  uint64_t sent() const { return stream_->bytes_sent(); }
  const std::string& answer() const { return answer_; }

 private:
  void OnConnected() override {
    stream_->Write(bytes_);
    stream_->Flush();
    SendFiller();
  }
  void OnDrained() override {
    // While there is room to send, nothing else reports input.
    OnReadable();
    SendFiller();
  }
  void OnReadable() override {
    const auto result = stream_->Read(&answer_, kFillerBytes);
    if (result == TcpStream::ReadResult::kEndOfStream ||
        result == TcpStream::ReadResult::kFailed) {
      loop_->Quit();
    }
  }
  void OnFailed(const absl::Status&) override { loop_->Quit(); }

  void SendFiller() {
    while (stream_->pending_bytes() == 0) {
      if (sent() >= kMaxAcceptedBytes) {
        loop_->Quit();
        return;
      }
      stream_->Write(filler_);
      stream_->Flush();
    }
  }

  EventLoop* loop_;
  std::string bytes_;
  std::string filler_;
  std::string answer_;
  std::unique_ptr<TcpStream> stream_;
};

//! All listeners of an instance read their requests in this way.
TEST_P(EndlessRequestTest, ServerRefusesIt) {
  EventLoop loop;
  Metrics metrics;
  const auto [fd, address] = ListenOnFreePort();
  RelayServer server(
      &loop, fd, 16,
      [](CallerConnection* connection, const CallerRequest&) {
        return std::make_unique<FixedAnswerTask>(connection, 200, "");
      },
      &metrics);
  EndlessSender sender(&loop, address, MakeBytes("POST / HTTP/1.1", GetParam()),
                       GetParam().filler);
  loop.After(Millis(5000), [&] { loop.Quit(); });
  loop.Run();
  EXPECT_LT(sender.sent(), kMaxAcceptedBytes);
  EXPECT_TRUE(sender.answer().find(" 431 ") != std::string::npos ||
              sender.answer().find(" 413 ") != std::string::npos)
      << sender.answer();
}

std::string MessageName(const testing::TestParamInfo<EndlessMessage>& info) {
  return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(Chunks,
                         EndlessAnswerTest,
                         testing::ValuesIn(kChunkMessages),
                         MessageName);
INSTANTIATE_TEST_SUITE_P(Others,
                         EndlessAnswerTest,
                         testing::ValuesIn(kOtherMessages),
                         MessageName);
INSTANTIATE_TEST_SUITE_P(NoFraming,
                         EndlessAnswerTest,
                         testing::Values(kBodyToTheEndOfTheConnection),
                         MessageName);
INSTANTIATE_TEST_SUITE_P(Chunks,
                         EndlessRequestTest,
                         testing::ValuesIn(kChunkMessages),
                         MessageName);
INSTANTIATE_TEST_SUITE_P(Others,
                         EndlessRequestTest,
                         testing::ValuesIn(kOtherMessages),
                         MessageName);

}  // namespace
}  // namespace tamaracktrail
