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

//! Lets callbacks find out that their connection object is gone.
struct PeerConnection::Link {
  PeerConnection* owner = nullptr;
  bool writing = false;
  std::string frame;  //!< Being written.
  std::array<char, kReadBytes> buf;
};

PeerConnection::PeerConnection(GSocketConnection* connection,
                               const FrameCodec* codec)
    : connection_(G_SOCKET_CONNECTION(g_object_ref(connection))),
      cancellable_(g_cancellable_new()),
      codec_(codec),
      link_(std::make_shared<Link>()) {
  link_->owner = this;
}

PeerConnection::~PeerConnection() {
  link_->owner = nullptr;
  g_cancellable_cancel(cancellable_);
  g_io_stream_close(G_IO_STREAM(connection_), nullptr, nullptr);
  g_object_unref(cancellable_);
  g_object_unref(connection_);
}

void PeerConnection::Start(OnMessage on_message, OnClosed on_closed) {
  on_message_ = std::move(on_message);
  on_closed_ = std::move(on_closed);
  ReadMore();
}

bool PeerConnection::Send(const PeerMessage& message) {
  if (closed_ || outgoing_.size() >= kMaxQueue) {
    return false;
  }
  outgoing_.push_back(codec_->Encode(message));
  WriteMore();
  return true;
}

void PeerConnection::ReadMore() {
  GInputStream* in = g_io_stream_get_input_stream(G_IO_STREAM(connection_));
  auto* held = new std::shared_ptr<Link>(link_);
  g_input_stream_read_async(
      in, link_->buf.data(), link_->buf.size(), G_PRIORITY_DEFAULT,
      cancellable_,
      [](GObject* stream, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<std::shared_ptr<Link>> link(
            static_cast<std::shared_ptr<Link>*>(data));
        GError* ec = nullptr;
        const gssize n =
            g_input_stream_read_finish(G_INPUT_STREAM(stream), result, &ec);
        const std::string error = ec == nullptr ? "closed" : ec->message;
        g_clear_error(&ec);
        PeerConnection* owner = (*link)->owner;
        if (owner == nullptr) {
          return;
        }
        if (n <= 0) {
          owner->Close(absl::UnavailableError(error));
          return;
        }
        owner->received_.append((*link)->buf.data(), static_cast<size_t>(n));
        owner->TakeFrames();
      },
      held);
}

void PeerConnection::TakeFrames() {
  const std::shared_ptr<Link> link = link_;
  while (true) {
    absl::StatusOr<std::optional<PeerMessage>> message =
        codec_->TakeFrom(received_);
    if (!message.ok()) {
      Close(message.status());
      return;
    }
    if (!message->has_value()) {
      break;
    }
    on_message_(**message);
    if (link->owner == nullptr || closed_) {
      return;
    }
  }
  ReadMore();
}

void PeerConnection::WriteMore() {
  if (link_->writing || outgoing_.empty() || closed_) {
    return;
  }
  link_->writing = true;
  link_->frame = std::move(outgoing_.front());
  outgoing_.pop_front();
  GOutputStream* out = g_io_stream_get_output_stream(G_IO_STREAM(connection_));
  auto* held = new std::shared_ptr<Link>(link_);
  g_output_stream_write_all_async(
      out, link_->frame.data(), link_->frame.size(), G_PRIORITY_DEFAULT,
      cancellable_,
      [](GObject* stream, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<std::shared_ptr<Link>> link(
            static_cast<std::shared_ptr<Link>*>(data));
        GError* ec = nullptr;
        const gboolean ok = g_output_stream_write_all_finish(
            G_OUTPUT_STREAM(stream), result, nullptr, &ec);
        const std::string error = ec == nullptr ? "" : ec->message;
        g_clear_error(&ec);
        (*link)->writing = false;
        PeerConnection* owner = (*link)->owner;
        if (owner == nullptr) {
          return;
        }
        if (!ok) {
          owner->Close(absl::UnavailableError(error));
          return;
        }
        owner->WriteMore();
      },
      held);
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
