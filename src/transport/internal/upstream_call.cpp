#include "transport/internal/upstream_call.h"

#include <libsoup/soup.h>

#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "protocol/retry_after.h"
#include "protocol/sse_parser.h"

namespace tamaracktrail {

namespace {

constexpr gsize kReadBytes = 32 * 1024;
constexpr size_t kMaxPlainBodyBytes = 64 * 1024 * 1024;
//! Size limit of one event; events have a few kilobytes at most.
constexpr size_t kMaxEventBytes = 256 * 1024;
const char kDoneMarker[] = "[DONE]";

}  // namespace

//! Shared with the pending GLib callbacks, which may outlive the call.
struct UpstreamCall::State : std::enable_shared_from_this<State> {
  Request request;
  OnEvent on_event;
  SoupMessage* message = nullptr;
  GCancellable* cancellable = nullptr;
  GInputStream* stream = nullptr;
  GSource* timer = nullptr;
  SseParser parser;
  std::string plain_body;
  std::string content_type;
  int status = 0;
  bool sent = false;
  bool ended = false;
  bool paused = false;
  bool reading = false;
  bool usage_received = false;
  uint64_t chunks = 0;
  UpstreamEvent end;  //!< Sent at [DONE]; has the usage once received.

  ~State() {
    if (timer != nullptr) {
      g_source_destroy(timer);
      g_source_unref(timer);
    }
    g_clear_object(&stream);
    g_clear_object(&cancellable);
    g_clear_object(&message);
  }

  using StatePtr = std::shared_ptr<State>;

  static StatePtr* NewReference(const StatePtr& state) {
    return new StatePtr(state);
  }
  static std::unique_ptr<StatePtr> TakeReference(gpointer data) {
    return std::unique_ptr<StatePtr>(static_cast<StatePtr*>(data));
  }

  void End(UpstreamEvent event) {
    if (ended) {
      return;
    }
    ended = true;
    event.status = status;
    const OnEvent on_event_copy = on_event;
    on_event_copy(event);
  }

  void Fail() {
    UpstreamEvent event;
    event.kind = sent ? UpstreamEvent::Kind::kConnectionLost
                      : UpstreamEvent::Kind::kConnectFailed;
    End(std::move(event));
  }

  static void OnInformational(SoupMessage* message, gpointer data);
  static void OnSent(GObject* session, GAsyncResult* result, gpointer data);
  static void OnRead(GObject* stream, GAsyncResult* result, gpointer data);
  void OnHeaders();
  void Read();
  void OnBytes(const std::string& bytes);
  void OnEvents(const std::string& bytes);
  void OnStreamEvent(const SseEvent& event);
  void OnUsage(const std::string& data);
  void OnEof();
};

void UpstreamCall::State::OnInformational(SoupMessage* message, gpointer data) {
  if (soup_message_get_status(message) == SOUP_STATUS_SWITCHING_PROTOCOLS) {
    // No call asks for another protocol. A call that is cancelled here counts
    // as a lost connection.
    g_cancellable_cancel(static_cast<State*>(data)->cancellable);
  }
}

void UpstreamCall::State::OnSent(GObject* session,
                                 GAsyncResult* result,
                                 gpointer data) {
  const std::unique_ptr<StatePtr> reference = TakeReference(data);
  const StatePtr& state = *reference;
  GError* ec = nullptr;
  GInputStream* stream =
      soup_session_send_finish(SOUP_SESSION(session), result, &ec);
  g_clear_error(&ec);
  if (stream == nullptr) {
    state->Fail();
    return;
  }
  state->stream = stream;
  state->OnHeaders();
}

void UpstreamCall::State::OnHeaders() {
  if (ended) {
    return;
  }
  status = static_cast<int>(soup_message_get_status(message));
  SoupMessageHeaders* headers = soup_message_get_response_headers(message);
  const char* type = soup_message_headers_get_one(headers, "Content-Type");
  content_type = type == nullptr ? "" : type;
  UpstreamEvent event;
  if (soup_message_headers_get_one(headers, "X-Not-Run") != nullptr) {
    event.kind = UpstreamEvent::Kind::kRefused;
    const char* wait = soup_message_headers_get_one(headers, "Retry-After");
    if (wait != nullptr) {
      // An unreadable time asks for nothing.
      event.retry_after = ParseRetryAfter(wait).value_or(Millis(0));
    }
    End(std::move(event));
    return;
  }
  const bool failed = request.streamed ? status != 200 : status >= 500;
  if (failed) {
    event.kind = UpstreamEvent::Kind::kError;
    End(std::move(event));
    return;
  }
  Read();
}

void UpstreamCall::State::Read() {
  if (reading || paused || ended || stream == nullptr) {
    return;
  }
  reading = true;
  g_input_stream_read_bytes_async(stream, kReadBytes, G_PRIORITY_DEFAULT,
                                  cancellable, OnRead,
                                  NewReference(shared_from_this()));
}

void UpstreamCall::State::OnRead(GObject* stream,
                                 GAsyncResult* result,
                                 gpointer data) {
  const std::unique_ptr<StatePtr> reference = TakeReference(data);
  const StatePtr& state = *reference;
  GError* ec = nullptr;
  GBytes* bytes =
      g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, &ec);
  g_clear_error(&ec);
  state->reading = false;
  if (state->ended) {
    g_bytes_unref(bytes);
    return;
  }
  if (bytes == nullptr) {
    state->Fail();
    return;
  }
  gsize n = 0;
  const auto* buf = static_cast<const char*>(g_bytes_get_data(bytes, &n));
  const std::string chunk(buf == nullptr ? "" : buf, n);
  g_bytes_unref(bytes);
  if (chunk.empty()) {
    state->OnEof();
    return;
  }
  state->OnBytes(chunk);
  state->Read();
}

void UpstreamCall::State::OnBytes(const std::string& bytes) {
  if (request.streamed) {
    OnEvents(bytes);
    return;
  }
  plain_body += bytes;
  if (plain_body.size() > kMaxPlainBodyBytes) {
    Fail();
  }
}

void UpstreamCall::State::OnEvents(const std::string& bytes) {
  for (const SseEvent& event : parser.Feed(bytes)) {
    if (ended) {
      return;
    }
    OnStreamEvent(event);
  }
  if (parser.pending_bytes() > kMaxEventBytes) {
    Fail();
  }
}

void UpstreamCall::State::OnStreamEvent(const SseEvent& event) {
  if (event.data == kDoneMarker) {
    if (!usage_received) {
      Fail();
      return;
    }
    end.kind = UpstreamEvent::Kind::kEnd;
    End(end);
    return;
  }
  // The id is ATTEMPT:SEQUENCE, so that an answer to another call is detected.
  const size_t colon = event.id.rfind(':');
  uint64_t sequence = 0;
  const bool ids_match =
      colon != std::string::npos &&
      event.id.substr(0, colon) == request.attempt_id &&
      absl::SimpleAtoi(event.id.substr(colon + 1), &sequence);
  if (!ids_match) {
    Fail();
    return;
  }
  // The event with the usage is recognised by its text, and only then parsed.
  if (event.data.find("\"usage\":{") != std::string::npos) {
    end.sequence = sequence;
    OnUsage(event.data);
    return;
  }
  UpstreamEvent chunk;
  chunk.kind = UpstreamEvent::Kind::kChunk;
  chunk.sequence = sequence;
  chunk.data = event.data;
  const OnEvent on_event_copy = on_event;
  on_event_copy(chunk);
}

void UpstreamCall::State::OnUsage(const std::string& data) {
  const nlohmann::json parsed = nlohmann::json::parse(data, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("usage")) {
    Fail();
    return;
  }
  try {
    const nlohmann::json& usage = parsed["usage"];
    end.prompt_tokens = usage.value("prompt_tokens", int64_t{0});
    end.completion_tokens = usage.value("completion_tokens", int64_t{0});
  } catch (const nlohmann::json::exception&) {
    // The values have other types than numbers.
    Fail();
    return;
  }
  usage_received = true;
  end.data = data;
}

void UpstreamCall::State::OnEof() {
  if (request.streamed) {
    Fail();  // The stream ended without [DONE].
    return;
  }
  UpstreamEvent event;
  event.kind = UpstreamEvent::Kind::kEnd;
  event.data = std::move(plain_body);
  End(std::move(event));
}

UpstreamCall::UpstreamCall(SoupSession* session,
                           const Request& request,
                           OnEvent on_event)
    : state_(std::make_shared<State>()) {
  state_->request = request;
  state_->on_event = std::move(on_event);
  state_->cancellable = g_cancellable_new();
  SoupMessage* message =
      soup_message_new(request.method.c_str(), request.url.c_str());
  state_->message = message;
  soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
  // libsoup may resend a request after a kept-alive connection broke, so a
  // request that must not be repeated gets a new connection.
  soup_message_add_flags(message, request.may_repeat
                                      ? SOUP_MESSAGE_IDEMPOTENT
                                      : SOUP_MESSAGE_NEW_CONNECTION);
  SoupMessageHeaders* headers = soup_message_get_request_headers(message);
  const auto set = [&](const char* name, const std::string& value) {
    soup_message_headers_replace(headers, name, value.c_str());
  };
  set("X-Request-Id", request.request_id);
  set("X-Attempt-Id", request.attempt_id);
  set("X-Priority", absl::StrCat(request.priority));
  if (request.resume_from > 0) {
    set("X-Resume-From", absl::StrCat(request.resume_from));
  }
  if (!request.body.empty()) {
    GBytes* body = g_bytes_new(request.body.data(), request.body.size());
    soup_message_set_request_body_from_bytes(
        message, request.content_type.c_str(), body);
    g_bytes_unref(body);
  }
  g_signal_connect(message, "starting",
                   G_CALLBACK(+[](SoupMessage*, gpointer data) {
                     static_cast<State*>(data)->sent = true;
                   }),
                   state_.get());
  g_signal_connect(message, "got-informational",
                   G_CALLBACK(State::OnInformational), state_.get());
  state_->timer =
      g_timeout_source_new(static_cast<guint>(request.connect_timeout.count()));
  const GSourceFunc on_timeout = [](gpointer data) -> gboolean {
    auto* state = static_cast<State*>(data);
    if (!state->sent) {
      g_cancellable_cancel(state->cancellable);
    }
    return G_SOURCE_REMOVE;
  };
  g_source_set_callback(state_->timer, on_timeout, state_.get(), nullptr);
  g_source_attach(state_->timer, g_main_context_get_thread_default());
  soup_session_send_async(session, message, G_PRIORITY_DEFAULT,
                          state_->cancellable, State::OnSent,
                          State::NewReference(state_));
}

UpstreamCall::~UpstreamCall() {
  state_->ended = true;
  state_->on_event = nullptr;
  g_cancellable_cancel(state_->cancellable);
}

void UpstreamCall::SetPaused(bool paused) {
  state_->paused = paused;
  state_->Read();
}

const std::string& UpstreamCall::content_type() const {
  return state_->content_type;
}

}  // namespace tamaracktrail
