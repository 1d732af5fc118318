#include "transport/peer_mesh.h"

#include <gio/gio.h>

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "absl/strings/str_cat.h"
#include "protocol/frame_codec.h"
#include "state/digest.h"
#include "transport/clock.h"
#include "transport/internal/peer_connection.h"

namespace tamaracktrail {

namespace {

constexpr size_t kDatagramBytes = 64 * 1024;
constexpr Millis kReconnectInterval{1000};
constexpr size_t kMaxQueuedMessages = 10000;

GSocketAddress* ParseAddress(const std::string& text) {
  GSocketConnectable* parsed =
      g_network_address_parse(text.c_str(), 0, nullptr);
  if (parsed == nullptr) {
    return nullptr;
  }
  auto* address = G_NETWORK_ADDRESS(parsed);
  GSocketAddress* out = g_inet_socket_address_new_from_string(
      g_network_address_get_hostname(address),
      g_network_address_get_port(address));
  g_object_unref(parsed);
  return out;
}

absl::Status TakeError(GError* ec) {
  const std::string message = ec->message;
  g_error_free(ec);
  return absl::UnavailableError(message);
}

//! User data of an asynchronous connection attempt.
struct ConnectState {
  std::shared_ptr<PeerMesh*> mesh;
  InstanceId peer;
};

}  // namespace

PeerMesh::PeerMesh(InstanceId self,
                   std::string data_centre,
                   const FrameCodec* codec,
                   Handler handler)
    : self_(std::move(self)),
      data_centre_(std::move(data_centre)),
      codec_(codec),
      handler_(std::move(handler)),
      client_(g_socket_client_new()),
      cancellable_(g_cancellable_new()),
      self_handle_(std::make_shared<PeerMesh*>(this)) {
  g_socket_client_set_timeout(client_, 0);
}

PeerMesh::~PeerMesh() {
  *self_handle_ = nullptr;
  g_cancellable_cancel(cancellable_);
  if (udp_source_ != nullptr) {
    g_source_destroy(udp_source_);
    g_source_unref(udp_source_);
    g_object_unref(udp_);
  }
  if (listener_ != nullptr) {
    g_socket_listener_close(listener_);
    g_object_unref(listener_);
  }
  g_object_unref(client_);
  g_object_unref(cancellable_);
}

absl::Status PeerMesh::Listen() {
  GSocketAddress* address = ParseAddress(self_.address);
  if (address == nullptr) {
    return absl::InvalidArgumentError("not a numeric IP:port: " +
                                      self_.address);
  }
  GError* ec = nullptr;
  listener_ = g_socket_listener_new();
  if (!g_socket_listener_add_address(listener_, address, G_SOCKET_TYPE_STREAM,
                                     G_SOCKET_PROTOCOL_TCP, nullptr, nullptr,
                                     &ec)) {
    g_object_unref(address);
    return TakeError(ec);
  }
  udp_ = g_socket_new(g_socket_address_get_family(address),
                      G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, &ec);
  const bool bound =
      udp_ != nullptr && g_socket_bind(udp_, address, FALSE, &ec);
  g_object_unref(address);
  if (!bound) {
    return TakeError(ec);
  }
  g_socket_set_blocking(udp_, FALSE);
  udp_source_ = g_socket_create_source(udp_, G_IO_IN, nullptr);
  const GSocketSourceFunc on_ready = [](GSocket*, GIOCondition,
                                        gpointer data) -> gboolean {
    static_cast<PeerMesh*>(data)->ReadDatagrams();
    return G_SOURCE_CONTINUE;
  };
  g_source_set_callback(udp_source_, G_SOURCE_FUNC(on_ready), this, nullptr);
  g_source_attach(udp_source_, g_main_context_get_thread_default());
  AcceptNext();
  return absl::OkStatus();
}

void PeerMesh::ReadDatagrams() {
  std::string buf(kDatagramBytes, '\0');
  while (true) {
    const gssize n =
        g_socket_receive(udp_, buf.data(), buf.size(), nullptr, nullptr);
    if (n < 0) {
      return;
    }
    counters_.received_bytes += static_cast<uint64_t>(n);
    const absl::StatusOr<PeerMessage> message =
        codec_->Decode(buf.substr(0, static_cast<size_t>(n)));
    if (!message.ok()) {
      CountBadFrame(message.status(), "udp");
      continue;
    }
    if (const auto* heartbeat = std::get_if<Heartbeat>(&*message)) {
      handler_.on_message(heartbeat->from.incarnation, *message);
    }
  }
}

void PeerMesh::SendDatagram(const std::string& address,
                            const PeerMessage& message) {
  GSocketAddress* to = ParseAddress(address);
  if (to == nullptr) {
    return;
  }
  const std::string frame = codec_->Encode(message);
  counters_.sent_bytes += frame.size();
  // A lost datagram is not an error: the next heartbeat replaces it.
  g_socket_send_to(udp_, to, frame.data(), frame.size(), nullptr, nullptr);
  g_object_unref(to);
}

void PeerMesh::AcceptNext() {
  g_socket_listener_accept_async(
      listener_, cancellable_,
      [](GObject* listener, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<std::shared_ptr<PeerMesh*>> handle(
            static_cast<std::shared_ptr<PeerMesh*>*>(data));
        GSocketConnection* accepted = g_socket_listener_accept_finish(
            G_SOCKET_LISTENER(listener), result, nullptr, nullptr);
        PeerMesh* mesh = **handle;
        if (mesh == nullptr) {
          g_clear_object(&accepted);
          return;
        }
        if (accepted != nullptr) {
          auto connection =
              std::make_unique<PeerConnection>(accepted, mesh->codec_);
          g_object_unref(accepted);
          PeerConnection* raw = connection.get();
          mesh->incoming_.push_back({0, std::move(connection)});
          raw->Start(
              [mesh, raw](const PeerMessage& it) {
                mesh->OnIncomingMessage(raw, it);
              },
              [mesh, raw](const absl::Status& status) {
                if (!absl::IsUnavailable(status)) {
                  mesh->CountBadFrame(status, "tcp");
                }
                std::erase_if(mesh->incoming_, [&](Incoming& it) {
                  const bool match = it.connection.get() == raw;
                  if (match) {
                    mesh->closed_.push_back(std::move(it.connection));
                  }
                  return match;
                });
              });
        }
        mesh->AcceptNext();
      },
      new std::shared_ptr<PeerMesh*>(self_handle_));
}

void PeerMesh::OnIncomingMessage(PeerConnection* connection,
                                 const PeerMessage& message) {
  auto it = std::find_if(
      incoming_.begin(), incoming_.end(),
      [&](const Incoming& in) { return in.connection.get() == connection; });
  if (it == incoming_.end()) {
    return;
  }
  if (const auto* hello = std::get_if<Hello>(&message)) {
    it->from = hello->from.incarnation;
    connection->Send(Hello{self_, data_centre_});
    return;
  }
  if (it->from != 0) {
    handler_.on_message(it->from, message);
  }
}

void PeerMesh::Send(const InstanceId& to, const PeerMessage& message) {
  Outgoing& out = outgoing_[to.incarnation];
  out.peer = to;
  if (out.hello_received) {
    if (!out.connection->Send(message)) {
      ++counters_.dropped_messages;
    }
    return;
  }
  if (out.queued.size() >= kMaxQueuedMessages) {
    ++counters_.dropped_messages;
    return;
  }
  out.queued.push_back(message);
  if (!out.connecting && out.connection == nullptr) {
    Connect(to);
  }
}

void PeerMesh::CheckReachable(Millis now, const InstanceId& peer) {
  Outgoing& out = outgoing_[peer.incarnation];
  out.peer = peer;
  const bool idle = !out.connecting && out.connection == nullptr;
  if (idle && now >= out.last_attempt_at + kReconnectInterval) {
    Connect(peer);
  }
}

void PeerMesh::Connect(const InstanceId& peer) {
  Outgoing& out = outgoing_[peer.incarnation];
  GSocketAddress* address = ParseAddress(peer.address);
  if (address == nullptr) {
    return;
  }
  out.connecting = true;
  out.last_attempt_at = MonotonicNow();
  g_socket_client_connect_async(
      client_, G_SOCKET_CONNECTABLE(address), cancellable_,
      [](GObject* client, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<ConnectState> state(
            static_cast<ConnectState*>(data));
        GError* ec = nullptr;
        GSocketConnection* connection = g_socket_client_connect_finish(
            G_SOCKET_CLIENT(client), result, &ec);
        const bool refused =
            ec != nullptr &&
            g_error_matches(ec, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
        g_clear_error(&ec);
        PeerMesh* mesh = *state->mesh;
        if (mesh != nullptr) {
          mesh->OnConnectFinished(state->peer, connection, refused);
        }
        g_clear_object(&connection);
      },
      new ConnectState{self_handle_, peer});
  g_object_unref(address);
}

void PeerMesh::OnConnectFinished(const InstanceId& peer,
                                 void* connection,
                                 bool refused) {
  auto it = outgoing_.find(peer.incarnation);
  if (it == outgoing_.end()) {
    return;
  }
  it->second.connecting = false;
  if (connection == nullptr) {
    // The senders of the queued messages repeat what has to arrive.
    counters_.dropped_messages += it->second.queued.size();
    it->second.queued.clear();
    if (refused) {
      handler_.on_exit(peer.incarnation, "its address refuses connections");
    }
    return;
  }
  it->second.connection =
      std::make_unique<PeerConnection>(G_SOCKET_CONNECTION(connection), codec_);
  it->second.connection->Send(Hello{self_, data_centre_});
  it->second.connection->Start(
      [this, peer](const PeerMessage& message) { OnHello(peer, message); },
      [this, peer](const absl::Status& status) {
        if (!absl::IsUnavailable(status)) {
          CountBadFrame(status, "tcp");
        }
        auto out = outgoing_.find(peer.incarnation);
        if (out != outgoing_.end()) {
          closed_.push_back(std::move(out->second.connection));
          counters_.dropped_messages += out->second.queued.size();
          out->second.queued.clear();
          out->second.hello_received = false;
        }
      });
}

void PeerMesh::OnHello(const InstanceId& peer, const PeerMessage& message) {
  const auto* hello = std::get_if<Hello>(&message);
  auto it = outgoing_.find(peer.incarnation);
  if (hello == nullptr || it == outgoing_.end()) {
    return;
  }
  if (hello->from.incarnation != peer.incarnation) {
    handler_.on_exit(peer.incarnation,
                     "its address answers as another incarnation");
    return;
  }
  it->second.hello_received = true;
  for (const PeerMessage& queued : std::exchange(it->second.queued, {})) {
    it->second.connection->Send(queued);
  }
}

void PeerMesh::Drop(uint64_t incarnation) {
  std::erase_if(incoming_, [&](Incoming& it) {
    const bool match = it.from == incarnation;
    if (match) {
      closed_.push_back(std::move(it.connection));
    }
    return match;
  });
  auto it = outgoing_.find(incarnation);
  if (it != outgoing_.end()) {
    if (it->second.connection != nullptr) {
      closed_.push_back(std::move(it->second.connection));
    }
    outgoing_.erase(it);
  }
}

void PeerMesh::CountBadFrame(const absl::Status& status, const char* where) {
  ++counters_.bad_frames;
  LOG(WARNING) << "event=bad_frame transport=" << where << " reason=\""
               << status.message() << "\"";
}

void PeerMesh::FreeClosed() {
  closed_.clear();
}

}  // namespace tamaracktrail
