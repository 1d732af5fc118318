#include "transport/internal/caller_stream.h"

#include <libsoup/soup.h>
#include <sys/socket.h>

#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "protocol/result_info.h"
#include "transport/clock.h"

namespace tamaracktrail {

namespace {

std::string ErrorJson(const ResultInfo& info,
                      RunState run_state,
                      const std::string& detail) {
  nlohmann::json error = {{"code", static_cast<int>(info.code)},
                          {"name", info.name},
                          {"run", RunStateName(run_state)},
                          {"message", info.description}};
  if (!detail.empty()) {
    error["detail"] = detail;
  }
  const nlohmann::json body = {{"error", error}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

CallerStream::CallerStream(SoupServerMessage* message, Handler handler)
    : message_(SOUP_SERVER_MESSAGE(g_object_ref(message))),
      handler_(std::move(handler)) {
  soup_server_message_pause(message_);
  signals_[0] = g_signal_connect(
      message_, "wrote-body-data",
      G_CALLBACK(+[](SoupServerMessage*, guint n, gpointer data) {
        auto* self = static_cast<CallerStream*>(data);
        self->pending_bytes_ -= std::min<size_t>(self->pending_bytes_, n);
        self->last_progress_at_ = MonotonicNow();
        if (self->pending_bytes_ == 0 && self->handler_.on_drained) {
          self->handler_.on_drained();
        }
      }),
      this);
  signals_[1] =
      g_signal_connect(message_, "wrote-body",
                       G_CALLBACK(+[](SoupServerMessage*, gpointer data) {
                         static_cast<CallerStream*>(data)->written_ = true;
                       }),
                       this);
  signals_[2] = g_signal_connect(
      message_, "finished", G_CALLBACK(+[](SoupServerMessage*, gpointer data) {
        auto* self = static_cast<CallerStream*>(data);
        self->finished_ = true;
        const auto on_finished = self->handler_.on_finished;
        on_finished(self->written_);
      }),
      this);
  WatchSocket();
}

CallerStream::~CallerStream() {
  for (const unsigned long it : signals_) {
    g_signal_handler_disconnect(message_, it);
  }
  if (watch_ != nullptr) {
    g_source_destroy(watch_);
    g_source_unref(watch_);
  }
  g_object_unref(message_);
}

void CallerStream::WatchSocket() {
  GSocket* socket = soup_server_message_get_socket(message_);
  if (socket == nullptr) {
    return;
  }
  watch_ = g_socket_create_source(
      socket, static_cast<GIOCondition>(G_IO_IN | G_IO_HUP), nullptr);
  const GSocketSourceFunc on_ready = [](GSocket*, GIOCondition,
                                        gpointer data) -> gboolean {
    auto* self = static_cast<CallerStream*>(data);
    if (self->CallerDisconnected() && self->handler_.on_disconnected) {
      const auto on_disconnected = self->handler_.on_disconnected;
      on_disconnected();
    }
    return G_SOURCE_REMOVE;
  };
  g_source_set_callback(watch_, G_SOURCE_FUNC(on_ready), this, nullptr);
  g_source_attach(watch_, g_main_context_get_thread_default());
}

bool CallerStream::CallerDisconnected() const {
  GSocket* socket = soup_server_message_get_socket(message_);
  if (socket == nullptr || finished_) {
    return true;
  }
  char buf = 0;
  // Bytes after the request are a pipelined request: the caller is connected.
  const ssize_t n =
      recv(g_socket_get_fd(socket), &buf, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void CallerStream::SetHeader(const std::string& name,
                             const std::string& value) {
  soup_message_headers_replace(
      soup_server_message_get_response_headers(message_), name.c_str(),
      value.c_str());
}

void CallerStream::StartStream() {
  started_ = true;
  soup_server_message_set_status(message_, SOUP_STATUS_OK, nullptr);
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message_);
  soup_message_headers_set_content_type(headers, "text/event-stream", nullptr);
  soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(message_), FALSE);
}

void CallerStream::SendEvent(Millis now, const std::string& data) {
  if (ended_ || finished_) {
    return;
  }
  if (!started_) {
    StartStream();
  }
  if (pending_bytes_ == 0) {
    last_progress_at_ = now;
  }
  const std::string event = absl::StrCat("data: ", data, "\n\n");
  pending_bytes_ += event.size();
  soup_message_body_append(soup_server_message_get_response_body(message_),
                           SOUP_MEMORY_COPY, event.data(), event.size());
  soup_server_message_unpause(message_);
}

void CallerStream::EndStream() {
  if (ended_ || finished_) {
    return;
  }
  ended_ = true;
  soup_message_body_complete(soup_server_message_get_response_body(message_));
  soup_server_message_unpause(message_);
}

void CallerStream::SendCompleteAnswer(int status,
                                      const std::string& content_type,
                                      const std::string& body) {
  if (ended_ || finished_) {
    return;
  }
  started_ = true;
  ended_ = true;
  pending_bytes_ += body.size();
  last_progress_at_ = MonotonicNow();
  soup_server_message_set_status(message_, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message_, content_type.c_str(),
                                   SOUP_MEMORY_COPY, body.data(), body.size());
  soup_server_message_unpause(message_);
}

void CallerStream::SendError(ResultCode code,
                             RunState run_state,
                             const std::string& detail) {
  const ResultInfo& info = InfoOf(code);
  const std::string body = ErrorJson(info, run_state, detail);
  if (started_) {
    SendEvent(MonotonicNow(), body);
    EndStream();
    return;
  }
  if (info.retry_after_s > 0) {
    SetHeader("Retry-After", absl::StrCat(info.retry_after_s));
  }
  SendCompleteAnswer(info.http_status, "application/json", body);
}

void CallerStream::Abort() {
  GSocket* socket = soup_server_message_get_socket(message_);
  if (socket != nullptr && !finished_) {
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    soup_server_message_unpause(message_);
  }
}

}  // namespace tamaracktrail
