#include "transport/entry_task.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include <glog/logging.h>

#include "absl/strings/str_cat.h"
#include "protocol/result_info.h"
#include "state/digest.h"
#include "state/request_key.h"
#include "transport/clock.h"
#include "transport/coordination_task.h"
#include "transport/endpoint_prober.h"
#include "transport/http_client.h"
#include "transport/metrics.h"
#include "transport/status_json.h"

namespace tamaracktrail {

namespace {

constexpr Millis kTick{20};
constexpr Millis kReportPeriod{200};
constexpr Millis kPauseNoticed{700};
constexpr int kNeutralPriority = 5;
constexpr int kLowestPriority = 9;
constexpr size_t kRandomKeyBytes = 16;
constexpr size_t kContentHashChars = 32;
constexpr size_t kMaxKeyChars = 200;
const char kServicesPrefix[] = "/services/";

std::string HeaderOf(SoupServerMessage* message, const char* name) {
  const char* value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(message), name);
  return value == nullptr ? "" : value;
}

size_t HeaderBytes(SoupServerMessage* message) {
  size_t n = 0;
  soup_message_headers_foreach(
      soup_server_message_get_request_headers(message),
      [](const char* name, const char* value, gpointer data) {
        *static_cast<size_t*>(data) += strlen(name) + strlen(value) + 4;
      },
      &n);
  return n;
}

std::string BodyOf(SoupServerMessage* message) {
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

void LimitBody(SoupServerMessage* message, size_t limit) {
  auto* left = new size_t(limit);
  g_object_set_data_full(G_OBJECT(message), "body-left", left,
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
      left);
}

}  // namespace

EntryTask::EntryTask(Options options, Metrics* metrics)
    : options_(std::move(options)),
      metrics_(metrics),
      endpoints_(options_.data_centre, options_.endpoints),
      queue_(AdmissionQueue::Options{options_.limits.queue_length,
                                     options_.limits.queue_per_organisation}),
      retries_(options_.limits.retry_ratio, options_.limits.retry_burst),
      random_(options_.seed) {}

EntryTask::~EntryTask() = default;

absl::Status EntryTask::Start(CoordinationTask* coordination) {
  coordination_ = coordination;
  task_.Start();
  absl::Status status;
  task_.Run([&] {
    http_ = std::make_unique<HttpClient>();
    prober_ = std::make_unique<EndpointProber>(
        http_.get(),
        [this](const EndpointObservation& it) { endpoints_.Observe(it); });
    last_tick_ = MonotonicNow();
    status = Listen();
    task_.Every(kTick, [this] { Tick(); });
  });
  if (!status.ok()) {
    Stop();
  }
  return status;
}

absl::Status EntryTask::Listen() {
  GError* ec = nullptr;
  auto options = static_cast<SoupServerListenOptions>(0);
  server_ = soup_server_new("server-header", "tamaracktrail", nullptr);
  if (!options_.certificate.empty()) {
    GTlsCertificate* certificate = g_tls_certificate_new_from_files(
        options_.certificate.c_str(), options_.private_key.c_str(), &ec);
    if (certificate == nullptr) {
      const std::string message = ec->message;
      g_error_free(ec);
      return absl::InvalidArgumentError("TLS: " + message);
    }
    soup_server_set_tls_certificate(server_, certificate);
    g_object_unref(certificate);
    options = SOUP_SERVER_LISTEN_HTTPS;
  }
  soup_server_add_early_handler(
      server_, nullptr,
      [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
         gpointer data) {
        auto* self = static_cast<EntryTask*>(data);
        const auto length = soup_message_headers_get_content_length(
            soup_server_message_get_request_headers(message));
        if (length >
            static_cast<goffset>(self->options_.limits.max_body_bytes)) {
          self->Refuse(message, ResultCode::kBodyTooLarge, "");
          return;
        }
        LimitBody(message, self->options_.limits.max_body_bytes);
      },
      this, nullptr);
  soup_server_add_handler(
      server_, nullptr,
      [](SoupServer* server, SoupServerMessage* message, const char* path,
         GHashTable* query,
         gpointer data) { OnRequest(server, message, path, query, data); },
      this, nullptr);
  GSocketConnectable* parsed =
      g_network_address_parse(options_.listen.c_str(), 0, nullptr);
  if (parsed == nullptr) {
    return absl::InvalidArgumentError("not IP:port: " + options_.listen);
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
  if (!ok) {
    const std::string message = ec->message;
    g_error_free(ec);
    return absl::UnavailableError(message);
  }
  return absl::OkStatus();
}

void EntryTask::Drain() {
  task_.Post([this] { draining_ = true; });
}

size_t EntryTask::OpenCalls() {
  size_t n = 0;
  task_.Run([&] { n = calls_.size(); });
  return n;
}

void EntryTask::Stop() {
  task_.Run([this] {
    calls_.clear();
    finished_.clear();
    if (server_ != nullptr) {
      soup_server_disconnect(server_);
      g_clear_object(&server_);
    }
    prober_.reset();
    http_.reset();
  });
  task_.Stop();
}

void EntryTask::Notify(std::vector<EntryNotice> notices) {
  task_.Post([this, notices = std::move(notices)] {
    if (http_ == nullptr) {
      return;  // Stopped.
    }
    for (const EntryNotice& it : notices) {
      std::visit([this](const auto& notice) { Handle(notice); }, it);
    }
  });
}

// Requests.

void EntryTask::OnRequest(SoupServer*,
                          SoupServerMessage* message,
                          const char* path,
                          void*,
                          void* data) {
  static_cast<EntryTask*>(data)->Route(message, path);
}

void EntryTask::Route(SoupServerMessage* message, const std::string& path) {
  const std::string method = soup_server_message_get_method(message);
  if (HeaderBytes(message) > options_.limits.max_header_bytes) {
    Refuse(message, ResultCode::kHeadersTooLarge, "");
  } else if (path == "/healthz") {
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
  } else if (path == "/readyz") {
    const bool ready = catalog_ != nullptr && !draining_;
    soup_server_message_set_status(
        message, ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
        nullptr);
  } else if (path == "/metrics") {
    const std::string text = metrics_->Text();
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message, "text/plain; version=0.0.4",
                                     SOUP_MEMORY_COPY, text.data(),
                                     text.size());
  } else if (path == "/status") {
    ServeStatus(message);
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

void EntryTask::ServeStatus(SoupServerMessage* message) {
  soup_server_message_pause(message);
  g_object_ref(message);
  coordination_->GetStatus([this, message](const CoordinatorStatus& status) {
    task_.Post([message, body = StatusJson(status)] {
      soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
      soup_server_message_set_response(message, "application/json",
                                       SOUP_MEMORY_COPY, body.data(),
                                       body.size());
      soup_server_message_unpause(message);
      g_object_unref(message);
    });
  });
}

void EntryTask::ServeModels(SoupServerMessage* message) {
  if (!Identify(message, "").has_value()) {
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

std::optional<EntryTask::Caller> EntryTask::Identify(SoupServerMessage* message,
                                                     const std::string&) {
  const std::string prefix = "Bearer ";
  const std::string header = HeaderOf(message, "Authorization");
  Caller caller;
  if (header.starts_with(prefix)) {
    caller.organisation = catalog_->Authenticate(header.substr(prefix.size()));
  }
  if (caller.organisation == nullptr) {
    Refuse(message, ResultCode::kUnauthorized, "");
    return std::nullopt;
  }
  caller.key = HeaderOf(message, "Idempotency-Key");
  if (caller.key.size() > kMaxKeyChars) {
    Refuse(message, ResultCode::kBadRequest, "Idempotency-Key is too long");
    return std::nullopt;
  }
  if (caller.key.empty()) {
    std::string random(kRandomKeyBytes, '\0');
    for (char& it : random) {
      it = static_cast<char>(random_());
    }
    caller.key = MakeRequestKey(WallNow(), random);
  }
  return caller;
}

void EntryTask::Refuse(SoupServerMessage* message,
                       ResultCode code,
                       const std::string& detail) {
  CallerStream caller(message, {nullptr, nullptr, [](bool) {}});
  caller.SendError(code, InfoOf(code).run_state, detail);
  const std::string name = InfoOf(code).name;
  metrics_->Count("tamaracktrail_requests_total{result=\"" + name + "\"}");
  LOG(INFO) << "event=request_refused code=" << static_cast<int>(code)
            << " name=" << name << " detail=\"" << detail << "\"";
}

void EntryTask::ServeModelCall(SoupServerMessage* message, bool chat) {
  const std::string body = BodyOf(message);
  const std::optional<Caller> caller = Identify(message, body);
  if (!caller.has_value()) {
    return;
  }
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
  spec.worst_case = call->model.prompt_bound + call->model.max_tokens;
  spec.resumable = service->resumable;
  spec.content = ContentHash(service->name, call->model.body);
  Admit(message, *caller, *service, std::move(call), std::move(spec));
}

void EntryTask::ServePlainCall(SoupServerMessage* message,
                               const std::string& path) {
  const std::string rest = path.substr(sizeof(kServicesPrefix) - 1);
  const size_t slash = rest.find('/');
  const std::string name = rest.substr(0, slash);
  const std::string body = BodyOf(message);
  const std::optional<Caller> caller = Identify(message, body);
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
  call->content_type = HeaderOf(message, "Content-Type");
  spec.worst_case = service.cost;
  spec.fixed_cost = service.cost;
  spec.content =
      ContentHash(service.name, call->method + call->path + "\n" + body);
  Admit(message, *caller, service, std::move(call), std::move(spec));
}

void EntryTask::Admit(SoupServerMessage* message,
                      const Caller& caller,
                      const ServiceSpec& service,
                      std::unique_ptr<EntryCall> call,
                      FlowSpec spec) {
  const Millis now = MonotonicNow();
  if (calls_.size() >= options_.limits.max_streams) {
    Refuse(message, ResultCode::kTooManyStreams, "");
    return;
  }
  const uint64_t attempt = NewAttempt();
  spec.organisation = caller.organisation->name;
  spec.key = caller.key;
  spec.service = service.name;
  spec.entry = options_.incarnation;
  spec.attempt = attempt;
  spec.config_version = catalog_->version;
  spec.reserve_timeout = options_.limits.reserve_timeout;
  spec.idle_timeout = options_.limits.idle_timeout;
  call->attempt = attempt;
  call->since = now;
  call->priority = std::clamp(
      caller.organisation->priority + service.priority - kNeutralPriority, 0,
      kLowestPriority);
  const AdmissionQueue::Item item{
      attempt,         service.name, spec.organisation,     call->priority,
      spec.worst_case, now,          now + service.deadline};
  call->flow = std::make_unique<RequestFlow>(std::move(spec), &retries_);
  call->caller = std::make_unique<CallerStream>(
      message,
      CallerStream::Handler{[this, attempt] {
                              if (EntryCall* it = Find(attempt)) {
                                Perform(*it, it->flow->OnCallerGone(
                                                 MonotonicNow(),
                                                 ResultCode::kCallerGone));
                                it->caller->Abort();
                              }
                            },
                            [this, attempt] {
                              EntryCall* it = Find(attempt);
                              if (it != nullptr && it->upstream != nullptr) {
                                it->upstream->SetPaused(false);
                              }
                            },
                            [this, attempt](bool written) {
                              OnCallerFinished(attempt, written);
                            }});
  call->caller->SetHeader("Idempotency-Key", caller.key);
  EntryCall& open = *call;
  calls_[attempt] = std::move(call);
  if (!queue_.Push(item)) {
    Perform(open, open.flow->Refuse(ResultCode::kQueueFull));
    return;
  }
  Pump(now);
}

uint64_t EntryTask::NewAttempt() {
  uint64_t attempt = 0;
  while (attempt == 0 || calls_.contains(attempt)) {
    attempt = random_();
  }
  return attempt;
}

bool EntryTask::HasRoom(Millis now, const std::string& service) const {
  int admitted = 0;
  for (const auto& [attempt, call] : calls_) {
    admitted += !call->queued && !call->flow->done() &&
                        call->flow->tries() == 0 &&
                        call->flow->spec().service == service
                    ? 1
                    : 0;
  }
  return endpoints_.Room(now, service) > admitted;
}

void EntryTask::Pump(Millis now) {
  for (const std::string& service : queue_.Services()) {
    while (HasRoom(now, service)) {
      const std::optional<AdmissionQueue::Item> item = queue_.Pop(now, service);
      if (!item.has_value()) {
        break;
      }
      EntryCall* call = Find(item->id);
      if (call == nullptr || call->flow->done()) {
        continue;
      }
      call->queued = false;
      Perform(*call, call->flow->Start(now));
    }
  }
}

EntryCall* EntryTask::Find(uint64_t attempt) {
  auto it = calls_.find(attempt);
  return it == calls_.end() ? nullptr : it->second.get();
}

// Actions of a request flow.

void EntryTask::Perform(EntryCall& call, const RequestFlow::Actions& actions) {
  for (const FlowAction& it : actions) {
    std::visit([&](const auto& action) { Act(call, action); }, it);
  }
}

void EntryTask::Act(EntryCall& call, const CheckContent& action) {
  coordination_->CheckContent(call.attempt, action.content);
}

void EntryTask::Act(EntryCall&, const ReserveRequest& action) {
  coordination_->Reserve(action);
}

void EntryTask::Act(EntryCall&, const ReservationEnd& action) {
  coordination_->EndReservation(action);
}

void EntryTask::Act(EntryCall& call, const DispatchCall& action) {
  const Millis now = MonotonicNow();
  const std::string& service = call.flow->spec().service;
  std::vector<EndpointCandidate> candidates =
      endpoints_.Candidates(now, service);
  const auto excluded = [&](const EndpointCandidate& it) {
    return action.exclude.contains(it.name);
  };
  std::erase_if(candidates, excluded);
  if (candidates.empty()) {
    candidates = endpoints_.Candidates(now, service, true);
    std::erase_if(candidates, excluded);
  }
  if (candidates.empty()) {
    Perform(call, call.flow->OnNoEndpoint(now));
    return;
  }
  const size_t n = choice_.Pick(candidates, call.model.prefix, random_);
  const EndpointSpec spec = *endpoints_.Find(candidates[n].name);
  UpstreamCall::Request request;
  request.request_id = call.flow->spec().key;
  request.attempt_id = absl::StrCat(Hex(call.attempt), "-", action.try_number);
  request.priority = call.priority;
  request.resume_from = action.resume_from;
  request.may_repeat = call.flow->spec().repeatable;
  request.streamed = call.model_call;
  if (call.model_call) {
    request.url = absl::StrCat(
        "http://", spec.address,
        call.model.chat ? "/v1/chat/completions" : "/v1/completions");
    request.body = call.model.body;
  } else {
    request.method = call.method;
    request.url = absl::StrCat("http://", spec.address, call.path);
    request.body = call.body;
    request.content_type =
        call.content_type.empty() ? "application/json" : call.content_type;
  }
  call.busy_endpoint = spec.name;
  endpoints_.OnDispatch(now, spec.name);
  Perform(call, call.flow->OnDispatched(now, spec.name));
  call.upstream = std::make_unique<UpstreamCall>(
      http_->session(), request,
      [this, attempt = call.attempt](const UpstreamEvent& event) {
        OnUpstream(attempt, event);
      });
}

void EntryTask::Act(EntryCall& call, const CancelCall&) {
  call.upstream.reset();
  Release(MonotonicNow(), call, EndpointTable::Finish::kRefused);
}

void EntryTask::Act(EntryCall& call, const ConfirmCrash& action) {
  const EndpointSpec* spec = endpoints_.Find(action.endpoint);
  const Millis now = MonotonicNow();
  if (spec == nullptr) {
    Perform(call, call.flow->OnCrashVerdict(now, false));
    return;
  }
  const std::optional<EndpointObservation> last =
      endpoints_.Last(action.endpoint);
  const std::string boot_id = last.has_value() ? last->boot_id : "";
  prober_->ProbeNow(
      now, *spec,
      [this, boot_id, attempt = call.attempt](const EndpointObservation& it) {
        EntryCall* open = Find(attempt);
        if (open == nullptr) {
          return;
        }
        const bool restarted = !boot_id.empty() && it.boot_id != boot_id;
        const bool crashed = it.health == EndpointHealth::kDown || restarted;
        Perform(*open, open->flow->OnCrashVerdict(MonotonicNow(), crashed));
      });
}

void EntryTask::Act(EntryCall& call, const RecordCrash& action) {
  metrics_->Count("tamaracktrail_endpoint_crashes_total");
  coordination_->ReportCrash(call.attempt, action.crash);
}

void EntryTask::Act(EntryCall& call, const ForwardChunk& action) {
  const Millis now = MonotonicNow();
  if (call.first_chunk_at == Millis()) {
    call.first_chunk_at = now;
    const Millis wait = now - call.since;
    metrics_->Observe("tamaracktrail_first_token_ms",
                      static_cast<double>(wait.count()));
  }
  Forward(call, action.data);
}

void EntryTask::Forward(EntryCall& call, const std::string& data) {
  if (!call.model.stream) {
    call.text += ChunkText(data, call.model.chat);
    return;
  }
  call.caller->SendEvent(MonotonicNow(), data);
  const bool full =
      call.caller->pending() > options_.limits.stream_buffer_bytes;
  if (full && call.upstream != nullptr) {
    call.upstream->SetPaused(true);
  }
}

void EntryTask::Act(EntryCall& call, const SettleCharge& action) {
  call.charge = action.request.charge;
  coordination_->Settle(action.request);
}

void EntryTask::Act(EntryCall&, const WithdrawCharge& action) {
  coordination_->Withdraw(action.charge);
}

void EntryTask::Act(EntryCall& call, const NoteRecord& action) {
  coordination_->Note(call.flow->spec().organisation, action.record);
}

void EntryTask::Act(EntryCall& call, const FinishRequest& action) {
  const FlowSpec& spec = call.flow->spec();
  const ResultInfo& info = InfoOf(action.code);
  const Millis took = MonotonicNow() - call.since;
  queue_.Remove(call.attempt);
  call.upstream.reset();
  Release(MonotonicNow(), call, EndpointTable::Finish::kRefused);
  metrics_->Count(
      absl::StrCat("tamaracktrail_requests_total{result=\"", info.name, "\"}"));
  metrics_->Observe("tamaracktrail_request_ms",
                    static_cast<double>(took.count()));
  LOG(INFO) << "event=request organisation=" << spec.organisation
            << " key=" << spec.key << " service=" << spec.service
            << " code=" << static_cast<int>(action.code)
            << " name=" << info.name
            << " run=" << RunStateName(action.run_state)
            << " endpoint=" << call.flow->endpoint()
            << " tries=" << call.flow->tries()
            << " tokens=" << (call.flow->done() ? call.charge.tokens : 0)
            << " config=" << spec.config_version << " ms=" << took.count();
  if (action.code == ResultCode::kOk) {
    call.settled = true;
    SendAnswer(call);
  } else {
    call.caller->SendError(action.code, action.run_state, "");
  }
}

void EntryTask::SendAnswer(EntryCall& call) {
  if (!call.model_call) {
    call.caller->SendWhole(
        call.end.status,
        call.content_type.empty() ? "application/json" : call.content_type,
        call.end.data);
    return;
  }
  if (call.model.stream) {
    call.caller->SendEvent(MonotonicNow(), call.final_event);
    call.caller->SendEvent(MonotonicNow(), "[DONE]");
    call.caller->EndStream();
    return;
  }
  call.caller->SendWhole(
      SOUP_STATUS_OK, "application/json",
      WholeAnswer(call.flow->spec().key, call.model.model, call.text,
                  call.charge.prompt_tokens, call.charge.completion_tokens,
                  call.model.chat));
}

// Events of endpoints and callers.

void EntryTask::OnUpstream(uint64_t attempt, const UpstreamEvent& event) {
  EntryCall* call = Find(attempt);
  if (call == nullptr) {
    return;
  }
  const Millis now = MonotonicNow();
  switch (event.kind) {
    case UpstreamEvent::Kind::kChunk:
      break;
    case UpstreamEvent::Kind::kEnd:
      call->end = event;
      call->final_event = event.data;
      call->content_type = call->upstream->content_type();
      Release(now, *call, EndpointTable::Finish::kOk);
      break;
    case UpstreamEvent::Kind::kRefused:
      Release(now, *call, EndpointTable::Finish::kRefused);
      break;
    default:
      Release(now, *call, EndpointTable::Finish::kFailed);
      break;
  }
  Perform(*call, call->flow->OnUpstream(now, event));
  if (event.kind != UpstreamEvent::Kind::kChunk) {
    Pump(now);
  }
}

void EntryTask::Release(Millis now,
                        EntryCall& call,
                        EndpointTable::Finish finish) {
  if (!call.busy_endpoint.empty()) {
    endpoints_.OnFinish(now, call.busy_endpoint, finish);
    call.busy_endpoint.clear();
  }
}

void EntryTask::OnCallerFinished(uint64_t attempt, bool written) {
  EntryCall* call = Find(attempt);
  if (call == nullptr) {
    return;
  }
  if (call->settled && !written) {
    coordination_->Withdraw(call->charge);
    call->settled = false;
  }
  if (call->settled) {
    coordination_->ReportContentOk(attempt, call->flow->spec().content);
  }
  if (!call->flow->done()) {
    Perform(*call,
            call->flow->OnCallerGone(MonotonicNow(), ResultCode::kCallerGone));
  }
  if (call->flow->done()) {
    finished_.push_back(std::move(calls_[attempt]));
    calls_.erase(attempt);
  }
}

// Notices of the coordinator.

void EntryTask::Handle(const ReserveReply& notice) {
  EntryCall* call = Find(notice.attempt);
  if (call != nullptr) {
    Perform(*call, call->flow->OnReserveReply(MonotonicNow(), notice));
  }
}

void EntryTask::Handle(const SettledNotice& notice) {
  EntryCall* call = Find(notice.attempt);
  if (call != nullptr) {
    Perform(*call, call->flow->OnSettled(MonotonicNow(), notice.safe));
  }
}

void EntryTask::Handle(const ContentVerdict& notice) {
  EntryCall* call = Find(notice.attempt);
  if (call != nullptr) {
    Perform(*call, call->flow->OnContent(MonotonicNow(), notice.code));
  }
}

void EntryTask::Handle(const CatalogNotice& notice) {
  catalog_ = notice.catalog;
  std::vector<EndpointSpec> specs;
  for (const auto& [name, spec] : catalog_->endpoints) {
    specs.push_back(spec);
  }
  endpoints_.SetSpecs(specs);
}

void EntryTask::Handle(const NewsNotice& notice) {
  for (const EndpointObservation& it : notice.observations) {
    endpoints_.Observe(it);
  }
}

void EntryTask::Handle(const ProbeDuty& notice) {
  probe_duty_ = notice.endpoints;
}

void EntryTask::Handle(const OrderNotice& notice) {
  const EndpointSpec* spec = endpoints_.Find(notice.order.endpoint);
  if (spec == nullptr) {
    return;
  }
  HttpClient::Request request;
  request.method = "POST";
  request.url = "http://" + spec->address + "/orders";
  request.body = nlohmann::json{{"action", notice.order.action},
                                {"target", notice.order.target},
                                {"fencing_number", notice.order.fencing_number}}
                     .dump();
  LOG(INFO) << "event=order endpoint=" << notice.order.endpoint
            << " action=" << notice.order.action
            << " target=" << notice.order.target
            << " fencing_number=" << notice.order.fencing_number;
  http_->Send(request, [this, order = notice.order](auto reply) {
    const bool ok = reply.ok() && reply->status == SOUP_STATUS_OK;
    metrics_->Count(ok ? "tamaracktrail_orders_total"
                       : "tamaracktrail_order_failures_total");
  });
}

// Time.

void EntryTask::Tick() {
  if (http_ == nullptr) {
    return;  // Stopped.
  }
  const Millis now = MonotonicNow();
  if (now - last_tick_ > kPauseNoticed) {
    // What was seen before a pause of this process may long be out of date.
    endpoints_.ForgetBefore(now);
    LOG(WARNING) << "event=paused ms=" << (now - last_tick_).count();
  }
  last_tick_ = now;
  for (const AdmissionQueue::Item& it : queue_.TakeExpired(now)) {
    if (EntryCall* call = Find(it.id)) {
      Perform(*call, call->flow->Refuse(ResultCode::kDeadlineExceeded));
    }
  }
  TickCalls(now);
  for (const EndpointSpec& it : endpoints_.ToProbe(now, probe_duty_)) {
    prober_->Probe(now, it);
  }
  if (now >= reported_at_ + kReportPeriod) {
    reported_at_ = now;
    Report(now);
  }
  Pump(now);
  Reap();
}

void EntryTask::TickCalls(Millis now) {
  std::vector<uint64_t> attempts;
  for (const auto& [attempt, call] : calls_) {
    attempts.push_back(attempt);
  }
  for (const uint64_t attempt : attempts) {
    EntryCall* call = Find(attempt);
    if (call == nullptr) {
      continue;
    }
    if (!call->queued) {
      Perform(*call, call->flow->OnTick(now));
    }
    const CallerStream& caller = *call->caller;
    const bool slow = caller.pending() > 0 &&
                      now >= caller.progress_at() + options_.limits.slow_reader;
    if (slow) {
      Perform(*call, call->flow->OnCallerGone(now, ResultCode::kSlowReader));
      call->caller->Abort();
    }
  }
}

void EntryTask::Report(Millis now) {
  std::vector<Placer::EndpointState> states;
  std::map<std::string, int> demand;
  for (const EndpointSpec& spec : endpoints_.Specs()) {
    if (spec.data_centre != options_.data_centre) {
      continue;
    }
    const std::optional<EndpointObservation> last = endpoints_.Last(spec.name);
    Placer::EndpointState state;
    state.name = spec.name;
    state.service = spec.service;
    state.checks_fencing = spec.checks_fencing;
    state.up = endpoints_.Usable(now, spec.name);
    state.in_flight = endpoints_.InFlight(spec.name);
    if (last.has_value()) {
      state.loaded = last->loaded;
      state.in_flight = std::max(state.in_flight, last->load);
    }
    states.push_back(std::move(state));
  }
  if (catalog_ != nullptr) {
    for (const auto& [name, placement] : catalog_->placements) {
      // A service whose endpoints have no room left wants one copy more.
      const bool full = endpoints_.Room(now, placement.service) == 0;
      const auto copies =
          std::count_if(states.begin(), states.end(), [&](const auto& it) {
            return it.service == placement.service &&
                   std::find(it.loaded.begin(), it.loaded.end(),
                             placement.target) != it.loaded.end();
          });
      demand[name] = static_cast<int>(copies) + (full ? 1 : 0);
    }
  }
  coordination_->ReportEndpoints(endpoints_.News(now, probe_duty_),
                                 std::move(states), std::move(demand));
  metrics_->Set("tamaracktrail_open_requests",
                static_cast<double>(calls_.size()));
  metrics_->Set("tamaracktrail_queue_length",
                static_cast<double>(queue_.size()));
}

void EntryTask::Reap() {
  finished_.clear();
}

}  // namespace tamaracktrail
