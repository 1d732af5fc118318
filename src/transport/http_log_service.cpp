#include "transport/http_log_service.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "transport/http_client.h"

namespace tamaracktrail {

namespace {

using nlohmann::json;

constexpr Millis kAppendTimeout{3000};
constexpr Millis kReadTimeoutMargin{3000};

absl::StatusOr<json> ParseJsonObject(const absl::StatusOr<HttpReply>& reply) {
  if (!reply.ok()) {
    return reply.status();
  }
  if (reply->status != 200) {
    return absl::UnavailableError(absl::StrCat("log: HTTP ", reply->status));
  }
  json body = json::parse(reply->body, nullptr, false);
  if (!body.is_object()) {
    return absl::DataLossError("log: the answer is not a JSON object");
  }
  return body;
}

absl::StatusOr<LogPage> ParsePage(const json& body) {
  LogPage page;
  page.end = body.value("end", uint64_t{1});
  for (const json& it : body.value("records", json::array())) {
    LogEntry entry;
    entry.offset = it.value("offset", uint64_t{0});
    if (!absl::Base64Unescape(it.value("data", ""), &entry.payload)) {
      return absl::DataLossError("log: a record is not base64");
    }
    page.entries.push_back(std::move(entry));
  }
  return page;
}

}  // namespace

void HttpLogService::Append(const std::string& stream,
                            const std::string& payload,
                            AppendDone done) {
  HttpClient::Request request;
  request.method = "POST";
  request.url = absl::StrCat(url_, "/streams/", stream, "/records");
  request.body = json{{"data", absl::Base64Escape(payload)}}.dump();
  request.timeout = kAppendTimeout;
  client_->Send(request, [done = std::move(done)](auto reply) {
    const absl::StatusOr<json> body = ParseJsonObject(reply);
    if (!body.ok()) {
      done(body.status());
      return;
    }
    done(body->value("offset", uint64_t{0}));
  });
}

void HttpLogService::Read(const std::string& stream,
                          uint64_t from,
                          size_t max_entries,
                          Millis wait,
                          ReadDone done) {
  HttpClient::Request request;
  request.url = absl::StrCat(url_, "/streams/", stream, "/records?from=", from,
                             "&max=", max_entries, "&wait_ms=", wait.count());
  request.timeout = wait + kReadTimeoutMargin;
  client_->Send(request, [done = std::move(done)](auto reply) {
    const absl::StatusOr<json> body = ParseJsonObject(reply);
    if (!body.ok()) {
      done(body.status());
      return;
    }
    done(ParsePage(*body));
  });
}

}  // namespace tamaracktrail
