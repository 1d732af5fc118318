#include "transport/http_client.h"

#include <libsoup/soup.h>

#include <memory>
#include <string>
#include <utility>

namespace tamaracktrail {

namespace {

constexpr int kMaxConnections = 4096;
constexpr gsize kReadBytes = 32 * 1024;

//! One request and its answer; lives until its callback has run.
struct Exchange {
  SoupMessage* message = nullptr;
  GCancellable* cancellable = nullptr;
  GSource* timer = nullptr;
  GInputStream* stream = nullptr;
  size_t max_body_bytes = 0;
  HttpReply reply;
  bool sent = false;
  bool timed_out = false;
  bool protocol_switched = false;
  HttpClient::Done done;

  ~Exchange() {
    g_source_destroy(timer);
    g_source_unref(timer);
    g_clear_object(&stream);
    g_object_unref(cancellable);
    g_object_unref(message);
  }
};

gboolean OnTimeout(gpointer data) {
  auto* exchange = static_cast<Exchange*>(data);
  exchange->timed_out = true;
  g_cancellable_cancel(exchange->cancellable);
  return G_SOURCE_REMOVE;
}

void OnStarting(SoupMessage*, gpointer data) {
  static_cast<Exchange*>(data)->sent = true;
}

void OnInformational(SoupMessage* message, gpointer data) {
  auto* exchange = static_cast<Exchange*>(data);
  if (soup_message_get_status(message) == SOUP_STATUS_SWITCHING_PROTOCOLS) {
    // No request here asks for another protocol.
    exchange->protocol_switched = true;
    g_cancellable_cancel(exchange->cancellable);
  }
}

absl::Status ToStatus(const Exchange& exchange, const GError& ec) {
  if (exchange.protocol_switched) {
    return absl::UnknownError("the peer switched to another protocol");
  }
  if (exchange.timed_out) {
    return absl::DeadlineExceededError("timed out");
  }
  if (g_error_matches(&ec, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
    return absl::CancelledError(ec.message);
  }
  return exchange.sent ? absl::UnknownError(ec.message)
                       : absl::UnavailableError(ec.message);
}

void Fail(const Exchange& exchange, GError* ec) {
  const absl::Status status = ToStatus(exchange, *ec);
  g_error_free(ec);
  exchange.done(status);
}

void ReadMore(std::unique_ptr<Exchange> exchange);

void OnRead(GObject* stream, GAsyncResult* result, gpointer data) {
  std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(data));
  GError* ec = nullptr;
  GBytes* bytes =
      g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, &ec);
  if (bytes == nullptr) {
    Fail(*exchange, ec);
    return;
  }
  gsize n = 0;
  const auto* buf = static_cast<const char*>(g_bytes_get_data(bytes, &n));
  std::string& body = exchange->reply.body;
  const bool fits = n <= exchange->max_body_bytes - body.size();
  if (fits && n > 0) {
    body.append(buf, n);
  }
  g_bytes_unref(bytes);
  if (!fits) {
    exchange->done(absl::UnknownError("the answer's body is too large"));
    return;
  }
  if (n == 0) {
    exchange->done(std::move(exchange->reply));
    return;
  }
  ReadMore(std::move(exchange));
}

void ReadMore(std::unique_ptr<Exchange> exchange) {
  GInputStream* stream = exchange->stream;
  GCancellable* cancellable = exchange->cancellable;
  g_input_stream_read_bytes_async(stream, kReadBytes, G_PRIORITY_DEFAULT,
                                  cancellable, OnRead, exchange.release());
}

void OnSent(GObject* session, GAsyncResult* result, gpointer data) {
  std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(data));
  GError* ec = nullptr;
  exchange->stream =
      soup_session_send_finish(SOUP_SESSION(session), result, &ec);
  if (exchange->stream == nullptr) {
    Fail(*exchange, ec);
    return;
  }
  HttpReply& reply = exchange->reply;
  reply.status = static_cast<int>(soup_message_get_status(exchange->message));
  SoupMessageHeaders* headers =
      soup_message_get_response_headers(exchange->message);
  const char* type = soup_message_headers_get_one(headers, "Content-Type");
  reply.content_type = type == nullptr ? "" : type;
  reply.not_run = soup_message_headers_get_one(headers, "X-Not-Run") != nullptr;
  ReadMore(std::move(exchange));
}

}  // namespace

HttpClient::HttpClient()
    : session_(soup_session_new_with_options("max-conns",
                                             kMaxConnections,
                                             "max-conns-per-host",
                                             kMaxConnections,
                                             "timeout",
                                             0,
                                             nullptr)) {
  soup_session_remove_feature_by_type(session_, SOUP_TYPE_AUTH_MANAGER);
  soup_session_remove_feature_by_type(session_, SOUP_TYPE_CONTENT_DECODER);
}

HttpClient::~HttpClient() {
  soup_session_abort(session_);
  g_object_unref(session_);
}

void HttpClient::Send(const Request& request, Done done) {
  SoupMessage* message =
      soup_message_new(request.method.c_str(), request.url.c_str());
  if (message == nullptr) {
    done(absl::InvalidArgumentError("not a URL: " + request.url));
    return;
  }
  auto* exchange = new Exchange;
  exchange->message = message;
  exchange->cancellable = g_cancellable_new();
  exchange->max_body_bytes = request.max_body_bytes;
  exchange->done = std::move(done);
  exchange->timer =
      g_timeout_source_new(static_cast<guint>(request.timeout.count()));
  g_source_set_callback(exchange->timer, OnTimeout, exchange, nullptr);
  g_source_attach(exchange->timer, g_main_context_get_thread_default());
  soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
  g_signal_connect(message, "starting", G_CALLBACK(OnStarting), exchange);
  g_signal_connect(message, "got-informational", G_CALLBACK(OnInformational),
                   exchange);
  SoupMessageHeaders* headers = soup_message_get_request_headers(message);
  for (const auto& [name, value] : request.headers) {
    soup_message_headers_replace(headers, name.c_str(), value.c_str());
  }
  if (!request.body.empty()) {
    GBytes* body = g_bytes_new(request.body.data(), request.body.size());
    soup_message_set_request_body_from_bytes(
        message, request.content_type.c_str(), body);
    g_bytes_unref(body);
  }
  soup_session_send_async(session_, message, G_PRIORITY_DEFAULT,
                          exchange->cancellable, OnSent, exchange);
}

}  // namespace tamaracktrail
