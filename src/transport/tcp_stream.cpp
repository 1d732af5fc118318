#include "transport/tcp_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "transport/event_loop.h"
#include "transport/socket_address.h"

namespace tamaracktrail {

namespace {

//! One read; large bodies take several.
constexpr size_t kReadBytes = 64 * 1024;

//! Idle buffers above this are given back, since memory is short on small
//! instances and a connection is idle most of the time.
constexpr size_t kKeptBufferBytes = 16 * 1024;

}  // namespace

std::unique_ptr<TcpStream> TcpStream::Adopt(EventLoop* loop,
                                            int fd,
                                            Observer* observer) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::unique_ptr<TcpStream>(new TcpStream(loop, fd, true, observer));
}

absl::StatusOr<std::unique_ptr<TcpStream>> TcpStream::Connect(
    EventLoop* loop,
    const std::string& address,
    Millis unacknowledged,
    Observer* observer) {
  const absl::StatusOr<sockaddr_in> parsed = ParseSocketAddress(address);
  if (!parsed.ok()) {
    return parsed.status();
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return absl::ErrnoToStatus(errno, "socket");
  }
  const int on = 1;
  const auto timeout = static_cast<unsigned>(unacknowledged.count());
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  if (connect(fd, reinterpret_cast<const sockaddr*>(&*parsed),
              sizeof(*parsed)) != 0 &&
      errno != EINPROGRESS) {
    const int ec = errno;
    close(fd);
    return absl::ErrnoToStatus(ec, "connect");
  }
  return std::unique_ptr<TcpStream>(new TcpStream(loop, fd, false, observer));
}

TcpStream::TcpStream(EventLoop* loop,
                     int fd,
                     bool connected,
                     Observer* observer)
    : loop_(loop), fd_(fd), connected_(connected), observer_(observer) {
  events_ = connected_ ? EPOLLIN : EPOLLOUT;
  loop_->Watch(fd_, events_, this);
}

TcpStream::~TcpStream() {
  if (fd_ >= 0) {
    loop_->Unwatch(fd_);
    close(fd_);
  }
}

TcpStream::ReadResult TcpStream::Read(std::string* buf, size_t limit) {
  if (fd_ < 0) {
    return ReadResult::kFailed;
  }
  std::array<char, kReadBytes> chunk;
  const ssize_t n = recv(fd_, chunk.data(), std::min(limit, chunk.size()), 0);
  if (n > 0) {
    buf->append(chunk.data(), static_cast<size_t>(n));
    return ReadResult::kData;
  }
  if (n == 0) {
    return ReadResult::kEnd;
  }
  return errno == EAGAIN || errno == EINTR ? ReadResult::kNothing
                                           : ReadResult::kFailed;
}

void TcpStream::Write(std::string_view bytes) {
  out_.append(bytes);
}

void TcpStream::Flush() {
  if (fd_ >= 0 && connected_ && !blocked_ && pending() > 0) {
    // The kernel reports a failed send as an event too: the observer hears of
    // it from the loop and not from inside its own call.
    SendPending();
    UpdateEvents();
  }
}

bool TcpStream::SendPending() {
  while (pending() > 0) {
    const ssize_t n =
        send(fd_, out_.data() + sent_, out_.size() - sent_, MSG_NOSIGNAL);
    if (n < 0) {
      blocked_ = errno == EAGAIN;
      return errno == EAGAIN || errno == EINTR;
    }
    sent_ += static_cast<size_t>(n);
    bytes_sent_ += static_cast<uint64_t>(n);
    if (pending() > 0) {
      blocked_ = true;
      return true;
    }
  }
  out_.clear();
  sent_ = 0;
  if (out_.capacity() > kKeptBufferBytes) {
    out_.shrink_to_fit();
  }
  blocked_ = false;
  return true;
}

void TcpStream::PauseReading(bool pause) {
  paused_ = pause;
  UpdateEvents();
}

void TcpStream::ShutDownWriting() {
  if (fd_ >= 0) {
    shutdown(fd_, SHUT_WR);
  }
}

void TcpStream::Abort() {
  if (fd_ >= 0) {
    const linger reset{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
}

void TcpStream::UpdateEvents() {
  if (fd_ < 0) {
    return;
  }
  const uint32_t wanted = connected_ ? ((paused_ ? 0U : uint32_t{EPOLLIN}) |
                                        (blocked_ ? uint32_t{EPOLLOUT} : 0U))
                                     : uint32_t{EPOLLOUT};
  if (wanted != events_) {
    events_ = wanted;
    loop_->Rewatch(fd_, events_);
  }
}

void TcpStream::Fail(int error) {
  loop_->Unwatch(fd_);
  close(fd_);
  fd_ = -1;
  observer_->OnFailed(absl::ErrnoToStatus(error, "connection"));
}

void TcpStream::OnReady(uint32_t events) {
  if (!connected_) {
    int error = 0;
    socklen_t n = sizeof(error);
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &n);
    if (error != 0) {
      Fail(error);
      return;
    }
    connected_ = true;
    UpdateEvents();
    observer_->OnConnected();
    return;
  }
  if ((events & EPOLLOUT) != 0) {
    blocked_ = false;
    if (!SendPending()) {
      Fail(EPIPE);
      return;
    }
    UpdateEvents();
    if (pending() == 0) {
      // Readiness to read is level-triggered and comes again.
      observer_->OnDrained();
      return;
    }
  }
  if (paused_ && (events & (EPOLLHUP | EPOLLERR)) != 0) {
    Fail(ECONNRESET);
    return;
  }
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    observer_->OnReadable();
  }
}

}  // namespace tamaracktrail
