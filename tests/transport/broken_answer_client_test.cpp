//! Guards against broken answers that the clients of the product's own
//! interface take for answers.

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "coordination/endpoint_observation.h"
#include "coordination/endpoint_spec.h"
#include "coordination/upstream_event.h"
#include "support/client_context.h"
#include "support/early_endpoint.h"
#include "support/raw_endpoint.h"
#include "support/server_thread.h"
#include "transport/endpoint_prober.h"
#include "transport/http_client.h"
#include "transport/internal/upstream_call.h"

namespace tamaracktrail {
namespace {

struct BrokenAnswer {
  const char* name;
  std::string head;  //!< Without the framing of the body.
};

std::ostream& operator<<(std::ostream& out, const BrokenAnswer& it) {
  return out << it.name;
}

std::string MakeAnswer(const BrokenAnswer& answer,
                       const std::string& type,
                       const std::string& body) {
  return absl::StrCat(answer.head, "Content-Type: ", type,
                      "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

//! Whether a call to `address` fails.
bool CallFails(const std::string& address, bool streamed, std::string body) {
  ClientContext context;
  HttpClient client;
  UpstreamCall::Request request;
  request.method = "POST";
  request.url = absl::StrCat("http://", address, "/");
  request.attempt_id = "t";
  request.streamed = streamed;
  request.body = std::move(body);
  std::optional<UpstreamEvent::Kind> first;
  const UpstreamCall call(
      client.session(), request,
      [&](const UpstreamEvent& it) { first = first.value_or(it.kind); });
  context.RunUntil([&] { return first.has_value(); }, Millis(3000));
  return first == UpstreamEvent::Kind::kConnectionLost ||
         first == UpstreamEvent::Kind::kError;
}

bool PlainCallFails(const BrokenAnswer& answer) {
  ServerThread<RawEndpoint> server(MakeAnswer(answer, "text/plain", "body"),
                                   "");
  return CallFails(server.address(), false, "");
}

bool StreamFails(const BrokenAnswer& answer) {
  ServerThread<RawEndpoint> server(
      MakeAnswer(answer, "text/event-stream", "id: t:0\ndata: x\n\n"), "");
  return CallFails(server.address(), true, "");
}

EndpointHealth ProbedHealth(const BrokenAnswer& answer) {
  ServerThread<RawEndpoint> server(MakeAnswer(answer, "application/json", "{}"),
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
  context.RunUntil([&] { return health.has_value(); }, Millis(3000));
  return health.value_or(EndpointHealth::kUp);
}

const BrokenAnswer kStatusLines[] = {
    {"Status000", "HTTP/1.1 000 Trouble\r\n"},
    {"Status001", "HTTP/1.1 001 Trouble\r\n"},
    {"Status099", "HTTP/1.1 099 Trouble\r\n"},
    {"Status600", "HTTP/1.1 600 Trouble\r\n"},
    {"Status999", "HTTP/1.1 999 Trouble\r\n"},
    {"StatusOfTwoDigits", "HTTP/1.1 20 OK\r\n"},
    {"StatusOfFourDigits", "HTTP/1.1 2000 OK\r\n"},
    {"SwitchedProtocol",
     "HTTP/1.1 101 Switching Protocols\r\n\r\n"
     "HTTP/1.1 200 OK\r\n"},
    {"InterimStatus000", "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n"},
    {"Status000NotRun", "HTTP/1.1 000 Trouble\r\nX-Not-Run: 1\r\n"}};

class BrokenStatusClientTest : public testing::TestWithParam<BrokenAnswer> {};

TEST_P(BrokenStatusClientTest, PlainCallFails) {
  EXPECT_TRUE(PlainCallFails(GetParam()));
}

TEST_P(BrokenStatusClientTest, StreamFails) {
  EXPECT_TRUE(StreamFails(GetParam()));
}

TEST_P(BrokenStatusClientTest, EndpointIsNotHealthy) {
  EXPECT_EQ(ProbedHealth(GetParam()), EndpointHealth::kDown);
}

std::string CaseName(const testing::TestParamInfo<BrokenAnswer>& info) {
  return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(All,
                         BrokenStatusClientTest,
                         testing::ValuesIn(kStatusLines),
                         CaseName);
const BrokenAnswer kFields[] = {
    {"BlankInName", "HTTP/1.1 200 OK\r\nX Field: x\r\n"},
    {"BlankBeforeColon", "HTTP/1.1 200 OK\r\nX-Field : x\r\n"},
    {"ControlByteInName", "HTTP/1.1 200 OK\r\nX\x01: x\r\n"},
    {"NoColon", "HTTP/1.1 200 OK\r\nX-Field\r\n"},
    {"BlankAfterContentLength", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n"},
    {"BlankBeforeFirstField", "HTTP/1.1 200 OK\r\n X-Field: x\r\n"},
    {"BlankInInterimField",
     "HTTP/1.1 103 Early Hints\r\nX Field: x\r\n\r\nHTTP/1.1 200 OK\r\n"}};

TEST(BrokenFieldClientTest, PlainCallFails) {
  for (const BrokenAnswer& it : kFields) {
    EXPECT_TRUE(PlainCallFails(it)) << it;
  }
}

TEST(BrokenFieldClientTest, StreamFails) {
  for (const BrokenAnswer& it : kFields) {
    EXPECT_TRUE(StreamFails(it)) << it;
  }
}

TEST(BrokenFieldClientTest, EndpointIsNotHealthy) {
  for (const BrokenAnswer& it : kFields) {
    EXPECT_EQ(ProbedHealth(it), EndpointHealth::kDown) << it;
  }
}

//! A stream needs its own end marker; a plain answer has none.
TEST(EarlyEndClientTest, PlainCallFails) {
  for (const EarlyEndpoint::End end :
       {EarlyEndpoint::End::kEndThenReset, EarlyEndpoint::End::kReset}) {
    for (const size_t bytes : {200 * 1000, 1000 * 1000}) {
      ServerThread<EarlyEndpoint> server(EarlyEndpoint::Script{
          0, "HTTP/1.1 200 OK\r\n\r\npart", end, Millis(50)});
      EXPECT_TRUE(CallFails(server.address(), false, std::string(bytes, 'x')))
          << end << " " << bytes;
    }
  }
}

}  // namespace
}  // namespace tamaracktrail
