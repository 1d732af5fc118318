#include "cli/simple_get.h"

#include <glib.h>

#include <optional>

#include "absl/strings/str_cat.h"
#include "transport/http_client.h"

namespace tamaracktrail {

absl::StatusOr<std::string> SimpleGet(const std::string& url) {
  HttpClient client;
  HttpClient::Request request;
  request.url = url;
  std::optional<absl::StatusOr<HttpReply>> reply;
  client.Send(request, [&](auto it) { reply = std::move(it); });
  while (!reply.has_value()) {
    g_main_context_iteration(nullptr, TRUE);
  }
  if (!reply->ok()) {
    return reply->status();
  }
  if ((*reply)->status != 200) {
    return absl::UnavailableError(
        absl::StrCat(url, ": HTTP ", (*reply)->status));
  }
  return (*reply)->body;
}

}  // namespace tamaracktrail
