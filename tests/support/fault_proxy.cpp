#include "support/fault_proxy.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "support/loopback.h"
#include "transport/event_loop.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {

namespace {

constexpr Millis kDelay{150};
//! Longest time that bytes sent to the server may stay unacknowledged.
constexpr Millis kUnacknowledgedTimeout{60000};
constexpr size_t kReadBytes = 65536;

}  // namespace

//! A client connection and the connection to the server that it is forwarded
//! to.
class FaultProxy::ConnectionPair
    : public std::enable_shared_from_this<ConnectionPair> {
 public:
  ConnectionPair(FaultProxy* proxy, int fd)
      : proxy_(proxy), client_(this, true), server_(this, false) {
    client_.stream = TcpStream::Adopt(proxy->loop_, fd, &client_);
    server_.stream = *TcpStream::Connect(proxy->loop_, proxy->server_,
                                         kUnacknowledgedTimeout, &server_);
    ApplyMode();
  }

  //! Applies the proxy's current mode to both connections.
  void ApplyMode() {
    const Mode mode = proxy_->mode_;
    blackholed_ = blackholed_ || mode == Mode::kBlackhole;
    const bool stalled = blackholed_ || mode == Mode::kStall;
    if (client_.stream) {
      client_.stream->PauseReading(stalled || mode == Mode::kStallToServer);
    }
    if (server_.stream) {
      server_.stream->PauseReading(stalled || mode == Mode::kStallToClient);
    }
  }

  void Reset() {
    for (Side* it : {&client_, &server_}) {
      if (it->stream) {
        it->stream->SetResetOnClose(true);
        it->stream.reset();
      }
    }
  }

 private:
  struct Side : TcpStream::Observer {
    Side(ConnectionPair* pair, bool client) : pair(pair), client(client) {}

    void OnConnected() override { stream->Flush(); }
    void OnReadable() override { pair->Forward(this); }
    void OnDrained() override { pair->CloseAfterLastByte(this); }
    void OnFailed(const absl::Status&) override { pair->Close(true); }

    ConnectionPair* pair;
    bool client;
    bool end_received = false;  //!< The other side has closed.
    Millis deliver_at;          //!< Of the bytes that were received last.
    std::unique_ptr<TcpStream> stream;
  };

  void Forward(Side* from) {
    std::string buffer;
    const auto result = from->stream->Read(&buffer, kReadBytes);
    if (result == TcpStream::ReadResult::kFailed) {
      Close(true);
      return;
    }
    const bool end_received = result == TcpStream::ReadResult::kEndOfStream;
    if (end_received) {
      from->stream->PauseReading(true);
    }
    Side* to = from->client ? &server_ : &client_;
    const auto deliver = [self = shared_from_this(), to, end_received,
                          buffer = std::move(buffer)] {
      if (to->stream) {
        to->stream->Write(buffer);
        to->end_received = to->end_received || end_received;
        if (to->stream->connected()) {
          to->stream->Flush();
          self->CloseAfterLastByte(to);
        }
      }
    };
    // Bytes that are delayed stay before later ones.
    const Millis now = proxy_->loop_->Now();
    const Millis delay = proxy_->mode_ == Mode::kDelay ? kDelay : Millis(0);
    if (to->deliver_at < now && delay == Millis(0)) {
      proxy_->loop_->Defer(deliver);
      return;
    }
    to->deliver_at = std::max(to->deliver_at, now + delay);
    proxy_->loop_->After(to->deliver_at - now, deliver);
  }

  //! Closes both connections once the side opposite to `to` has closed and all
  //! bytes received from it are sent to `to`.
  void CloseAfterLastByte(Side* to) {
    if (to->end_received && to->stream && to->stream->pending_bytes() == 0) {
      Close(false);
    }
  }

  void Close(bool reset) {
    proxy_->loop_->Defer([self = shared_from_this(), reset] {
      if (reset) {
        self->Reset();
      }
      self->client_.stream.reset();
      self->server_.stream.reset();
      self->proxy_->pairs_.erase(self);
    });
  }

  FaultProxy* proxy_;
  Side client_;
  Side server_;
  bool blackholed_ = false;
};

FaultProxy::FaultProxy(EventLoop* loop, std::string server)
    : loop_(loop), server_(std::move(server)) {
  std::tie(fd_, address_) = ListenOnFreePort();
  loop_->Watch(fd_, EPOLLIN, this);
}

FaultProxy::~FaultProxy() {
  StopListening();
  for (const auto& it : pairs_) {
    it->Reset();
  }
}

void FaultProxy::StopListening() {
  if (fd_ >= 0) {
    loop_->Unwatch(fd_);
    close(fd_);
    fd_ = -1;
  }
}

void FaultProxy::SetMode(Mode mode) {
  if (mode_ == Mode::kRefuse) {
    return;
  }
  mode_ = mode;
  if (mode == Mode::kRefuse) {
    StopListening();
  }
  for (const auto& it : pairs_) {
    if (mode == Mode::kReset || mode == Mode::kRefuse) {
      it->Reset();
    } else {
      it->ApplyMode();
    }
  }
}

void FaultProxy::OnReady(uint32_t) {
  for (;;) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    const auto pair = std::make_shared<ConnectionPair>(this, fd);
    if (mode_ == Mode::kReset) {
      pair->Reset();
    } else {
      pairs_.insert(pair);
    }
  }
}

}  // namespace tamaracktrail
