#include "transport/internal/peer_connection.h"

#include <gio/gio.h>

#include <array>
#include <optional>
#include <utility>

#include "protocol/frame_codec.h"

namespace tamaracktrail {

namespace {

constexpr size_t kReadBytes = 64 * 1024;

}  // namespace

//! State that pending callbacks share with the connection object; `owner` is
//! null once that object is destroyed.
struct PeerConnection::SharedState {
  PeerConnection* owner = nullptr;
  bool writing = false;
  std::string frame;  //!< Frame that is being written.
  std::array<char, kReadBytes> buf;
};

PeerConnection::PeerConnection(GSocketConnection* connection,
                               const FrameCodec* codec)
    : connection_(G_SOCKET_CONNECTION(g_object_ref(connection))),
      cancellable_(g_cancellable_new()),
      codec_(codec),
      shared_(std::make_shared<SharedState>()) {
  shared_->owner = this;
}

PeerConnection::~PeerConnection() {
  shared_->owner = nullptr;
  g_cancellable_cancel(cancellable_);
  g_io_stream_close(G_IO_STREAM(connection_), nullptr, nullptr);
  g_object_unref(cancellable_);
  g_object_unref(connection_);
}

void PeerConnection::Start(OnMessage on_message, OnClosed on_closed) {
  on_message_ = std::move(on_message);
  on_closed_ = std::move(on_closed);
  StartRead();
}

bool PeerConnection::Send(const PeerMessage& message) {
  if (closed_ || write_queue_.size() >= kMaxQueue) {
    return false;
  }
  write_queue_.push_back(codec_->Encode(message));
  StartWrite();
  return true;
}

void PeerConnection::StartRead() {
  GInputStream* in = g_io_stream_get_input_stream(G_IO_STREAM(connection_));
  auto* reference = new std::shared_ptr<SharedState>(shared_);
  g_input_stream_read_async(
      in, shared_->buf.data(), shared_->buf.size(), G_PRIORITY_DEFAULT,
      cancellable_,
      [](GObject* stream, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<std::shared_ptr<SharedState>> shared(
            static_cast<std::shared_ptr<SharedState>*>(data));
        GError* ec = nullptr;
        const gssize n =
            g_input_stream_read_finish(G_INPUT_STREAM(stream), result, &ec);
        const std::string error = ec == nullptr ? "closed" : ec->message;
        g_clear_error(&ec);
        PeerConnection* owner = (*shared)->owner;
        if (owner == nullptr) {
          return;
        }
        if (n <= 0) {
          owner->Close(absl::UnavailableError(error));
          return;
        }
        owner->received_.Append(
            {(*shared)->buf.data(), static_cast<size_t>(n)});
        owner->DecodeFrames();
      },
      reference);
}

void PeerConnection::DecodeFrames() {
  const std::shared_ptr<SharedState> shared = shared_;
  while (true) {
    absl::StatusOr<std::optional<PeerMessage>> message =
        codec_->TakeFrom(&received_);
    if (!message.ok()) {
      Close(message.status());
      return;
    }
    if (!message->has_value()) {
      break;
    }
    on_message_(**message);
    if (shared->owner == nullptr || closed_) {
      return;
    }
  }
  StartRead();
}

void PeerConnection::StartWrite() {
  if (shared_->writing || write_queue_.empty() || closed_) {
    return;
  }
  shared_->writing = true;
  shared_->frame = std::move(write_queue_.front());
  write_queue_.pop_front();
  GOutputStream* out = g_io_stream_get_output_stream(G_IO_STREAM(connection_));
  auto* reference = new std::shared_ptr<SharedState>(shared_);
  g_output_stream_write_all_async(
      out, shared_->frame.data(), shared_->frame.size(), G_PRIORITY_DEFAULT,
      cancellable_,
      [](GObject* stream, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<std::shared_ptr<SharedState>> shared(
            static_cast<std::shared_ptr<SharedState>*>(data));
        GError* ec = nullptr;
        const gboolean ok = g_output_stream_write_all_finish(
            G_OUTPUT_STREAM(stream), result, nullptr, &ec);
        const std::string error = ec == nullptr ? "" : ec->message;
        g_clear_error(&ec);
        (*shared)->writing = false;
        PeerConnection* owner = (*shared)->owner;
        if (owner == nullptr) {
          return;
        }
        if (!ok) {
          owner->Close(absl::UnavailableError(error));
          return;
        }
        owner->StartWrite();
      },
      reference);
}

void PeerConnection::Close(const absl::Status& status) {
  if (closed_) {
    return;
  }
  closed_ = true;
  g_cancellable_cancel(cancellable_);
  on_closed_(status);
}

}  // namespace tamaracktrail
