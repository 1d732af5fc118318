#include "transport/tcp_stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "transport/event_loop.h"
#include "transport/socket_address.h"

namespace tamaracktrail {

namespace {

//! Largest number of bytes that one `Read` returns; longer input takes several
//! calls.
constexpr size_t kReadBytes = 64 * 1024;

//! An empty output buffer with a larger capacity is freed, since memory is
//! scarce on small instances and a connection is idle most of the time.
constexpr size_t kMaxIdleBufferBytes = 16 * 1024;

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
    Millis ack_timeout,
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
  const auto timeout = static_cast<unsigned>(ack_timeout.count());
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
  watched_events_ = connected_ ? EPOLLIN : EPOLLOUT;
  loop_->Watch(fd_, watched_events_, this);
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
    loop_->traffic().received += static_cast<uint64_t>(n);
    buf->append(chunk.data(), static_cast<size_t>(n));
    return ReadResult::kData;
  }
  if (n == 0) {
    // A reset after the end is an error of the socket, but not of `recv`.
    return send_failed_ || TakeError() != 0 ? ReadResult::kFailed
                                            : ReadResult::kEndOfStream;
  }
  const bool would_block = errno == EAGAIN || errno == EINTR;
  return would_block && !send_failed_ ? ReadResult::kWouldBlock
                                      : ReadResult::kFailed;
}

int TcpStream::TakeError() {
  int ec = 0;
  socklen_t n = sizeof(ec);
  getsockopt(fd_, SOL_SOCKET, SO_ERROR, &ec, &n);
  return ec;
}

bool TcpStream::output_acknowledged() const {
  int n = 0;
  return fd_ >= 0 && pending_bytes() == 0 && ioctl(fd_, SIOCOUTQ, &n) == 0 &&
         n == 0;
}

bool TcpStream::has_unread_bytes() const {
  char byte = 0;
  return fd_ >= 0 && recv(fd_, &byte, 1, MSG_PEEK) > 0;
}

void TcpStream::Write(std::string_view bytes) {
  // Without this, the part that has been sent would stay in memory until all of
  // the buffer has been, which may never happen during an answer.
  if (output_sent_ > kReadBytes && output_sent_ > output_.size() / 2) {
    output_.erase(0, output_sent_);
    output_sent_ = 0;
  }
  output_.append(bytes);
}

void TcpStream::Flush() {
  if (fd_ >= 0 && connected_ && !write_blocked_ && !send_failed_ &&
      pending_bytes() > 0) {
    // After a failed send the kernel reports an event, so that the observer is
    // notified by the loop and not within its own call.
    SendPending();
    UpdateEvents();
  }
}

bool TcpStream::SendPending() {
  while (pending_bytes() > 0) {
    const ssize_t n = send(fd_, output_.data() + output_sent_,
                           output_.size() - output_sent_, MSG_NOSIGNAL);
    if (n < 0) {
      write_blocked_ = errno == EAGAIN;
      send_failed_ = errno != EAGAIN && errno != EINTR;
      return !send_failed_;
    }
    output_sent_ += static_cast<size_t>(n);
    bytes_sent_ += static_cast<uint64_t>(n);
    loop_->traffic().sent += static_cast<uint64_t>(n);
    if (pending_bytes() > 0) {
      write_blocked_ = true;
      return true;
    }
  }
  output_.clear();
  output_sent_ = 0;
  if (output_.capacity() > kMaxIdleBufferBytes) {
    output_.shrink_to_fit();
  }
  write_blocked_ = false;
  return true;
}

void TcpStream::PauseReading(bool pause) {
  reading_paused_ = pause;
  UpdateEvents();
}

void TcpStream::ShutDownWriting() {
  if (fd_ >= 0) {
    shutdown(fd_, SHUT_WR);
  }
}

void TcpStream::SetResetOnClose(bool on) {
  if (fd_ >= 0) {
    const linger option{on ? 1 : 0, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  }
}

void TcpStream::UpdateEvents() {
  if (fd_ < 0) {
    return;
  }
  const uint32_t wanted = connected_
                              ? ((reading_paused_ ? 0U : uint32_t{EPOLLIN}) |
                                 (write_blocked_ ? uint32_t{EPOLLOUT} : 0U))
                              : uint32_t{EPOLLOUT};
  if (wanted != watched_events_) {
    watched_events_ = wanted;
    loop_->UpdateWatch(fd_, watched_events_);
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
    const int ec = TakeError();
    if (ec != 0) {
      Fail(ec);
      return;
    }
    connected_ = true;
    UpdateEvents();
    observer_->OnConnected();
    return;
  }
  if ((events & EPOLLOUT) != 0) {
    write_blocked_ = false;
    const bool sent = SendPending();
    UpdateEvents();
    if (!sent) {
      if (reading_paused_) {
        Fail(EPIPE);
      } else {
        // Reads the bytes that arrived before the failure, then the failure.
        observer_->OnReadable();
      }
      return;
    }
    if (pending_bytes() == 0) {
      // Read readiness is level-triggered and is reported again.
      observer_->OnDrained();
      return;
    }
  }
  if (reading_paused_ && (events & (EPOLLHUP | EPOLLERR)) != 0) {
    Fail(ECONNRESET);
    return;
  }
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    observer_->OnReadable();
  }
}

}  // namespace tamaracktrail
