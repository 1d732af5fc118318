#include "support/sample_config.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "platform/wire_names.h"

namespace tamaracktrail {

namespace {

using nlohmann::json;

json RouteEntry(const std::string& name,
                const std::string& kind,
                int max_attempts,
                bool resumable) {
  return {{"name", name},
          {"host", "h.example"},
          {"path_prefix", absl::StrCat("/", name, "/")},
          {"kind", kind},
          {"timeout_ms", 1500},
          {"target_latency_ms", 300},
          {"priority", 0},
          {"service", kind == "streaming" ? "llm" : "app"},
          {"max_attempts", max_attempts},
          {"public", false},
          {"stream_resumption", resumable},
          {"target_gap_ms", 300}};
}

}  // namespace

std::string SampleConfig(int64_t version, int64_t prepaid) {
  json version_route =
      RouteEntry(absl::StrCat("version-", version), "safe", 2, false);
  version_route["public"] = true;
  json later = RouteEntry("later", "safe", 2, false);
  later["priority"] = 2;
  return json{{"version", version},
              {"routes",
               {RouteEntry("safe", "safe", 2, false), later,
                RouteEntry("fee", "unsafe", 2, false),
                RouteEntry("report", "streaming", 2, false),
                RouteEntry("ask", "streaming", 2, true), version_route}},
              {"services",
               {{{"name", "llm"},
                 {"connection_limit", 100},
                 {"engine", {{"slots", 8}, {"stride", 5}}}},
                {{"name", "app"}, {"connection_limit", 100}}}},
              {"limits",
               {{"max_header_bytes", 4096},
                {"max_body_bytes", 10000},
                {"header_timeout_ms", 1000},
                {"idle_timeout_ms", 5000}}},
              {"tenants",
               {{{"name", "cedar"},
                 {"api_keys", {"key-1"}},
                 {"priority", 1},
                 {"prepaid", prepaid}}}}}
      .dump();
}

std::string SampleRequest(const std::string& route,
                          const std::string& id,
                          const std::string& extra_headers) {
  const bool streaming = route == "report" || route == "ask";
  // The deadline in ms is below the timeout_ms of the routes.
  return absl::StrCat(
      "POST /", route, "/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ", id,
      "\r\nX-Request-Deadline: 1200\r\nAuthorization: Bearer key-1\r\n",
      streaming ? "X-Model: m\r\nX-Token-Usage: 1000,100\r\n"
                  "X-Prompt-Prefix: aa:600,bb:300,cc:100\r\n"
                : "",
      extra_headers, "Content-Length: 4\r\n\r\nbody");
}

std::string SampleStreamBody() {
  std::string body;
  for (int i = 1; i <= 5; ++i) {
    absl::StrAppend(&body, "id: ", i, "\ndata: x\n\n");
  }
  return body;
}

std::string ReadinessRequest() {
  return absl::StrCat("GET ", platform::kReadinessPath,
                      " HTTP/1.1\r\nHost: x\r\n\r\n");
}

}  // namespace tamaracktrail
