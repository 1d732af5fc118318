//! Guards against broken answers that the clients of the product's own
//! interface take for answers.

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <ostream>
#include <string>

#include "absl/strings/str_cat.h"
#include "coordination/endpoint_observation.h"
#include "coordination/endpoint_spec.h"
#include "coordination/upstream_event.h"
#include "support/client_context.h"
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

class BrokenAnswerClientTest : public testing::TestWithParam<BrokenAnswer> {
 protected:
  static std::string MakeAnswer(const std::string& type,
                                const std::string& body) {
    return absl::StrCat(GetParam().head, "Content-Type: ", type,
                        "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
  }

  //! Sends a call to an endpoint that answers with `bytes` and closes, and
  //! returns the first thing that the call reports.
  static std::optional<UpstreamEvent> FirstEvent(const std::string& bytes,
                                                 bool streamed) {
    ServerThread server(bytes, "");
    ClientContext context;
    HttpClient client;
    UpstreamCall::Request request;
    request.url = absl::StrCat("http://", server.address(), "/");
    request.attempt_id = "t";
    request.streamed = streamed;
    std::optional<UpstreamEvent> first;
    const UpstreamCall call(
        client.session(), request,
        [&](const UpstreamEvent& event) { first = first ? first : event; });
    context.RunUntil([&] { return first.has_value(); }, Millis(3000));
    return first;
  }

  static void ExpectFailure(const std::optional<UpstreamEvent>& event) {
    ASSERT_TRUE(event.has_value());
    EXPECT_TRUE(event->kind == UpstreamEvent::Kind::kConnectionLost ||
                event->kind == UpstreamEvent::Kind::kError)
        << static_cast<int>(event->kind);
  }
};

TEST_P(BrokenAnswerClientTest, PlainCallFails) {
  ExpectFailure(FirstEvent(MakeAnswer("text/plain", "body"), false));
}

TEST_P(BrokenAnswerClientTest, StreamFails) {
  ExpectFailure(FirstEvent(
      MakeAnswer("text/event-stream", "id: t:0\ndata: x\n\n"), true));
}

TEST_P(BrokenAnswerClientTest, EndpointIsNotHealthy) {
  ServerThread server(MakeAnswer("application/json", "{}"), "");
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
  EXPECT_EQ(health, EndpointHealth::kDown);
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

std::string CaseName(const testing::TestParamInfo<BrokenAnswer>& info) {
  return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(StatusLines,
                         BrokenAnswerClientTest,
                         testing::ValuesIn(kStatusLines),
                         CaseName);

}  // namespace
}  // namespace tamaracktrail
