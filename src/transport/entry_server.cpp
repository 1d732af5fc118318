#include "transport/entry_server.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "state/digest.h"
#include "state/request_key.h"
#include "transport/clock.h"
#include "transport/internal/admission.h"
#include "transport/internal/caller_refusal.h"
#include "transport/metrics.h"

namespace tamaracktrail {

namespace {

//! A service of this priority leaves the organisation's priority unchanged.
constexpr int kNeutralPriority = 5;
constexpr int kLowestPriority = 9;  //!< 0 is the highest.
constexpr size_t kRandomKeyBytes = 16;
constexpr size_t kContentHashChars = 32;  //!< 128 bits of the SHA-256 hash.
constexpr size_t kMaxKeyChars = 200;
const char kServicesPrefix[] = "/services/";

std::string GetHeader(SoupServerMessage* message, const char* name) {
  const char* value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(message), name);
  return value == nullptr ? "" : value;
}

size_t HeaderBytes(SoupServerMessage* message) {
  size_t n = 0;
  soup_message_headers_foreach(
      soup_server_message_get_request_headers(message),
      [](const char* name, const char* value, gpointer data) {
        // Each header line also has ": " and "\r\n".
        *static_cast<size_t*>(data) += strlen(name) + strlen(value) + 4;
      },
      &n);
  return n;
}

std::string GetBody(SoupServerMessage* message) {
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  if (body == nullptr || body->length == 0) {
    return "";
  }
  GBytes* bytes = soup_message_body_flatten(body);
  gsize n = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &n));
  std::string out(data, n);
  g_bytes_unref(bytes);
  return out;
}

std::string ContentHash(const std::string& service, const std::string& body) {
  return Hex(Sha256(service + "\n" + body)).substr(0, kContentHashChars);
}

//! Closes the connection without an answer once more than `limit` bytes of the
//! body were received.
void LimitBody(SoupServerMessage* message, size_t limit) {
  auto* remaining = new size_t(limit);
  g_object_set_data_full(G_OBJECT(message), "body-left", remaining,
                         [](gpointer it) { delete static_cast<size_t*>(it); });
  g_signal_connect(
      message, "got-chunk",
      G_CALLBACK(+[](SoupServerMessage* it, GBytes* chunk, gpointer data) {
        auto* rest = static_cast<size_t*>(data);
        if (g_bytes_get_size(chunk) > *rest) {
          g_socket_shutdown(soup_server_message_get_socket(it), TRUE, TRUE,
                            nullptr);
          return;
        }
        *rest -= g_bytes_get_size(chunk);
      }),
      remaining);
}

//! Whether `key` is empty, in which case a key is generated, or short enough
//! and safe to be written to log lines and records without escaping.
bool IsValidKey(const std::string& key) {
  return key.size() <= kMaxKeyChars &&
         std::all_of(key.begin(), key.end(), [](char it) {
           return it > ' ' && it < '\x7f' && it != '"';
         });
}

absl::Status TakeError(GError* ec) {
  const std::string message = ec->message;
  g_error_free(ec);
  return absl::UnavailableError(message);
}

}  // namespace

EntryServer::EntryServer(Options options,
                         Handler handler,
                         Random* random,
                         Metrics* metrics)
    : options_(std::move(options)),
      handler_(std::move(handler)),
      random_(random),
      metrics_(metrics) {}

EntryServer::~EntryServer() {
  if (server_ != nullptr) {
    soup_server_disconnect(server_);
    g_object_unref(server_);
  }
}

absl::Status EntryServer::SetCertificate() {
  GError* ec = nullptr;
  GTlsCertificate* certificate = g_tls_certificate_new_from_files(
      options_.certificate.c_str(), options_.private_key.c_str(), &ec);
  if (certificate == nullptr) {
    return TakeError(ec);
  }
  soup_server_set_tls_certificate(server_, certificate);
  g_object_unref(certificate);
  return absl::OkStatus();
}

void EntryServer::AddHandlers() {
  soup_server_add_early_handler(
      server_, nullptr,
      [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
         gpointer data) {
        auto* self = static_cast<EntryServer*>(data);
        const size_t limit = self->options_.limits.max_body_bytes;
        const auto length = soup_message_headers_get_content_length(
            soup_server_message_get_request_headers(message));
        if (length > static_cast<goffset>(limit)) {
          self->Refuse(message, ResultCode::kBodyTooLarge, "");
          return;
        }
        LimitBody(message, limit);
      },
      this, nullptr);
  soup_server_add_handler(
      server_, nullptr,
      [](SoupServer*, SoupServerMessage* message, const char* path, GHashTable*,
         gpointer data) {
        static_cast<EntryServer*>(data)->Route(message, path);
      },
      this, nullptr);
}

absl::Status EntryServer::Listen() {
  server_ = soup_server_new("server-header", "tamaracktrail", nullptr);
  auto options = static_cast<SoupServerListenOptions>(0);
  if (!options_.certificate.empty()) {
    if (absl::Status status = SetCertificate(); !status.ok()) {
      return status;
    }
    options = SOUP_SERVER_LISTEN_HTTPS;
  }
  AddHandlers();
  GError* ec = nullptr;
  GSocketConnectable* parsed =
      g_network_address_parse(options_.listen.c_str(), 0, &ec);
  if (parsed == nullptr) {
    return TakeError(ec);
  }
  auto* network = G_NETWORK_ADDRESS(parsed);
  GSocketAddress* address = g_inet_socket_address_new_from_string(
      g_network_address_get_hostname(network),
      g_network_address_get_port(network));
  g_object_unref(parsed);
  if (address == nullptr) {
    return absl::InvalidArgumentError("not a numeric IP: " + options_.listen);
  }
  const bool ok = soup_server_listen(server_, address, options, &ec);
  g_object_unref(address);
  return ok ? absl::OkStatus() : TakeError(ec);
}

void EntryServer::Route(SoupServerMessage* message, const std::string& path) {
  const std::string method = soup_server_message_get_method(message);
  if (HeaderBytes(message) > options_.limits.max_header_bytes) {
    Refuse(message, ResultCode::kHeadersTooLarge, "");
  } else if (path == "/healthz") {
    AnswerHealthCheck(message, true);
  } else if (path == "/readyz") {
    AnswerHealthCheck(message, catalog_ != nullptr && !draining_);
  } else if (path == "/metrics") {
    ServeMetrics(message);
  } else if (path == "/status") {
    soup_server_message_pause(message);
    handler_.on_status(message);
  } else if (draining_) {
    Refuse(message, ResultCode::kShuttingDown, "");
  } else if (catalog_ == nullptr) {
    Refuse(message, ResultCode::kNoConfiguration, "");
  } else if (path == "/v1/models" && method == "GET") {
    ServeModels(message);
  } else if (path == "/v1/chat/completions" && method == "POST") {
    ServeModelCall(message, true);
  } else if (path == "/v1/completions" && method == "POST") {
    ServeModelCall(message, false);
  } else if (path.starts_with(kServicesPrefix)) {
    ServePlainCall(message, path);
  } else {
    Refuse(message, ResultCode::kUnknownService, "no such path or method");
  }
}

void EntryServer::AnswerHealthCheck(SoupServerMessage* message, bool ok) {
  soup_server_message_set_status(
      message, ok ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
}

void EntryServer::ServeMetrics(SoupServerMessage* message) {
  const std::string text = metrics_->Text();
  soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
  soup_server_message_set_response(message, "text/plain; version=0.0.4",
                                   SOUP_MEMORY_COPY, text.data(), text.size());
}

void EntryServer::ServeModels(SoupServerMessage* message) {
  if (!Identify(message).has_value()) {
    return;
  }
  nlohmann::json models = nlohmann::json::array();
  for (const auto& [name, service] : catalog_->services) {
    if (service.kind == ServiceSpec::Kind::kModel) {
      models.push_back({{"id", service.model},
                        {"object", "model"},
                        {"owned_by", service.owner}});
    }
  }
  const nlohmann::json out = {{"object", "list"}, {"data", models}};
  const std::string body = out.dump();
  soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
  soup_server_message_set_response(message, "application/json",
                                   SOUP_MEMORY_COPY, body.data(), body.size());
}

std::optional<EntryServer::CallerIdentity> EntryServer::Identify(
    SoupServerMessage* message) {
  const std::string prefix = "Bearer ";
  const std::string header = GetHeader(message, "Authorization");
  CallerIdentity caller;
  if (header.starts_with(prefix)) {
    caller.organisation = catalog_->Authenticate(header.substr(prefix.size()));
  }
  if (caller.organisation == nullptr) {
    Refuse(message, ResultCode::kUnauthorized, "");
    return std::nullopt;
  }
  caller.key = GetHeader(message, "Idempotency-Key");
  if (!IsValidKey(caller.key)) {
    Refuse(message, ResultCode::kBadRequest,
           "Idempotency-Key is too long or has spaces or quotes");
    return std::nullopt;
  }
  if (caller.key.empty()) {
    std::string random(kRandomKeyBytes, '\0');
    for (char& it : random) {
      it = static_cast<char>((*random_)());
    }
    caller.key = MakeRequestKey(WallNow(), random);
  }
  return caller;
}

void EntryServer::Refuse(SoupServerMessage* message,
                         ResultCode code,
                         const std::string& detail) {
  RefuseCaller(message, code, detail, metrics_);
}

void EntryServer::ServeModelCall(SoupServerMessage* message, bool chat) {
  const std::string body = GetBody(message);
  const std::optional<CallerIdentity> caller = Identify(message);
  if (!caller.has_value()) {
    return;
  }
  // The model determines the default of max_tokens, so the body is parsed with
  // a placeholder to get the model, then again.
  absl::StatusOr<ModelCall> parsed = ParseModelCall(body, chat, 1);
  if (!parsed.ok()) {
    Refuse(message, ResultCode::kBadRequest,
           std::string(parsed.status().message()));
    return;
  }
  const ServiceSpec* service = catalog_->ServiceOfModel(parsed->model);
  if (service == nullptr) {
    Refuse(message, ResultCode::kUnknownModel, parsed->model);
    return;
  }
  parsed = ParseModelCall(
      body, chat, std::min(service->max_tokens, options_.limits.max_tokens));
  const int64_t limit =
      std::min(service->max_tokens, options_.limits.max_tokens);
  if (parsed->max_tokens > limit) {
    Refuse(message, ResultCode::kTooManyTokens, absl::StrCat("limit ", limit));
    return;
  }
  auto call = std::make_unique<EntryCall>();
  call->model = *std::move(parsed);
  FlowSpec spec;
  spec.worst_case = call->model.max_prompt_tokens + call->model.max_tokens;
  spec.resumable = service->resumable;
  spec.content = ContentHash(service->name, call->model.body);
  Submit(message, *caller, *service, std::move(call), std::move(spec));
}

void EntryServer::ServePlainCall(SoupServerMessage* message,
                                 const std::string& path) {
  const std::string rest = path.substr(sizeof(kServicesPrefix) - 1);
  const size_t slash = rest.find('/');
  const std::string name = rest.substr(0, slash);
  const std::string body = GetBody(message);
  const std::optional<CallerIdentity> caller = Identify(message);
  if (!caller.has_value()) {
    return;
  }
  auto it = catalog_->services.find(name);
  if (it == catalog_->services.end() ||
      it->second.kind != ServiceSpec::Kind::kPlain) {
    Refuse(message, ResultCode::kUnknownService, name);
    return;
  }
  const ServiceSpec& service = it->second;
  auto call = std::make_unique<EntryCall>();
  call->model_call = false;
  call->method = soup_server_message_get_method(message);
  call->path = slash == std::string::npos ? "/" : rest.substr(slash);
  FlowSpec spec;
  spec.repeatable = service.Repeatable(call->method, call->path);
  const char* query = g_uri_get_query(soup_server_message_get_uri(message));
  if (query != nullptr) {
    call->path += std::string("?") + query;
  }
  call->body = body;
  call->content_type = GetHeader(message, "Content-Type");
  spec.worst_case = service.cost;
  spec.fixed_cost = service.cost;
  spec.content =
      ContentHash(service.name, call->method + call->path + "\n" + body);
  Submit(message, *caller, service, std::move(call), std::move(spec));
}

void EntryServer::Submit(SoupServerMessage* message,
                         const CallerIdentity& caller,
                         const ServiceSpec& service,
                         std::unique_ptr<EntryCall> call,
                         FlowSpec spec) {
  spec.organisation = caller.organisation->name;
  spec.key = caller.key;
  spec.service = service.name;
  spec.config_version = catalog_->version;
  const int priority =
      caller.organisation->priority + service.priority - kNeutralPriority;
  Admission admission;
  admission.message = message;
  admission.call = std::move(call);
  admission.spec = std::move(spec);
  admission.priority = std::clamp(priority, 0, kLowestPriority);
  admission.max_queue_wait = service.deadline;
  handler_.on_request(std::move(admission));
}

}  // namespace tamaracktrail
