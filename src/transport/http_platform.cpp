#include "transport/http_platform.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "transport/http_client.h"

namespace tamaracktrail {

namespace {

using nlohmann::json;

constexpr int kTooManyRequests = 429;

absl::StatusOr<json> ParseArray(const absl::StatusOr<HttpReply>& reply,
                                const char* name) {
  if (!reply.ok()) {
    return reply.status();
  }
  if (reply->status == kTooManyRequests) {
    return absl::ResourceExhaustedError("rate limit exceeded");
  }
  if (reply->status != 200) {
    return absl::UnavailableError(absl::StrCat("HTTP ", reply->status));
  }
  const json body = json::parse(reply->body, nullptr, false);
  if (!body.is_object() || !body.contains(name) || !body[name].is_array()) {
    return absl::DataLossError(
        absl::StrCat("the answer has no array \"", name, "\""));
  }
  return body[name];
}

}  // namespace

void HttpInstanceList::Fetch(ListDone done) {
  HttpClient::Request request;
  request.url = url_ + "/instances";
  client_->Send(request, [done = std::move(done)](auto reply) {
    const absl::StatusOr<json> array = ParseArray(reply, "instances");
    if (!array.ok()) {
      done(array.status());
      return;
    }
    std::vector<ListedInstance> out;
    for (const json& it : *array) {
      out.push_back({it.value("address", ""), it.value("data_centre", ""),
                     it.value("leaving", false)});
    }
    done(std::move(out));
  });
}

void HttpWeightStore::List(WeightsDone done) {
  HttpClient::Request request;
  request.url = url_ + "/weights";
  client_->Send(request, [done = std::move(done)](auto reply) {
    const absl::StatusOr<json> array = ParseArray(reply, "weights");
    if (!array.ok()) {
      done(array.status());
      return;
    }
    std::vector<std::string> out;
    for (const json& it : *array) {
      if (it.is_string()) {
        out.push_back(it.get<std::string>());
      }
    }
    done(std::move(out));
  });
}

}  // namespace tamaracktrail
