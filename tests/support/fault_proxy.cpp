#include "support/fault_proxy.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <tuple>
#include <utility>

#include "support/loopback.h"
#include "transport/event_loop.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {

namespace {

constexpr Millis kDelay{150};
constexpr Millis kUnacknowledged{60000};
constexpr size_t kPiece = 65536;

}  // namespace

//! Two connections and what passes between them.
class FaultProxy::Pipe : public std::enable_shared_from_this<Pipe> {
 public:
  Pipe(FaultProxy* proxy, int fd)
      : proxy_(proxy), client_(this, true), server_(this, false) {
    client_.stream = TcpStream::Adopt(proxy->loop_, fd, &client_);
    server_.stream = *TcpStream::Connect(proxy->loop_, proxy->server_,
                                         kUnacknowledged, &server_);
    Apply();
  }

  //! The proxy's mode has changed.
  void Apply() {
    const Mode mode = proxy_->mode_;
    silent_ = silent_ || mode == Mode::kSilence;
    const bool cut = silent_ || mode == Mode::kCut;
    if (client_.stream) {
      client_.stream->PauseReading(cut || mode == Mode::kCutForward);
    }
    if (server_.stream) {
      server_.stream->PauseReading(cut || mode == Mode::kCutBack);
    }
  }

  void Reset() {
    for (Side* it : {&client_, &server_}) {
      if (it->stream) {
        it->stream->Abort();
        it->stream.reset();
      }
    }
  }

 private:
  struct Side : TcpStream::Observer {
    Side(Pipe* pipe, bool client) : pipe(pipe), client(client) {}

    void OnConnected() override { stream->Flush(); }
    void OnReadable() override { pipe->Forward(this); }
    void OnDrained() override { pipe->Deliver(this); }
    void OnFailed(const absl::Status&) override { pipe->Drop(true); }

    Pipe* pipe;
    bool client;
    bool last = false;  //!< The other side has sent its end.
    std::unique_ptr<TcpStream> stream;
  };

  void Forward(Side* from) {
    std::string buf;
    const auto result = from->stream->Read(&buf, kPiece);
    if (result == TcpStream::ReadResult::kFailed) {
      Drop(true);
      return;
    }
    const bool last = result == TcpStream::ReadResult::kEnd;
    if (last) {
      from->stream->PauseReading(true);
    }
    Side* to = from->client ? &server_ : &client_;
    const auto arrive = [self = shared_from_this(), to, last,
                         buf = std::move(buf)] {
      if (to->stream) {
        to->stream->Write(buf);
        to->last = to->last || last;
        if (to->stream->connected()) {
          to->stream->Flush();
          self->Deliver(to);
        }
      }
    };
    if (proxy_->mode_ == Mode::kDelay) {
      proxy_->loop_->After(kDelay, arrive);
    } else {
      proxy_->loop_->Defer(arrive);
    }
  }

  //! Passes the end on once all before it has left.
  void Deliver(Side* to) {
    if (to->last && to->stream && to->stream->pending() == 0) {
      Drop(false);
    }
  }

  void Drop(bool reset) {
    proxy_->loop_->Defer([self = shared_from_this(), reset] {
      if (reset) {
        self->Reset();
      }
      self->client_.stream.reset();
      self->server_.stream.reset();
      self->proxy_->pipes_.erase(self);
    });
  }

  FaultProxy* proxy_;
  Side client_;
  Side server_;
  bool silent_ = false;
};

FaultProxy::FaultProxy(EventLoop* loop, std::string server)
    : loop_(loop), server_(std::move(server)) {
  std::tie(fd_, address_) = ListenOnFreePort();
  loop_->Watch(fd_, EPOLLIN, this);
}

FaultProxy::~FaultProxy() {
  loop_->Unwatch(fd_);
  close(fd_);
  for (const auto& it : pipes_) {
    it->Reset();
  }
}

void FaultProxy::SetMode(Mode mode) {
  mode_ = mode;
  for (const auto& it : pipes_) {
    if (mode == Mode::kReset) {
      it->Reset();
    } else {
      it->Apply();
    }
  }
}

void FaultProxy::OnReady(uint32_t) {
  for (;;) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    const auto pipe = std::make_shared<Pipe>(this, fd);
    if (mode_ == Mode::kReset) {
      pipe->Reset();
    } else {
      pipes_.insert(pipe);
    }
  }
}

}  // namespace tamaracktrail
