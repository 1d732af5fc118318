#include "support/raw_endpoint.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "support/loopback.h"

namespace tamaracktrail {

class RawEndpoint::Connection : public IoHandler {
 public:
  Connection(RawEndpoint* endpoint, int fd)
      : endpoint_(endpoint),
        fd_(fd),
        pending_(endpoint->bytes_ + endpoint->filler_) {
    endpoint_->loop_->Watch(fd_, EPOLLIN, this);
  }
  ~Connection() override {
    endpoint_->loop_->Unwatch(fd_);
    close(fd_);
  }

  void OnReady(uint32_t) override {
    std::array<char, 65536> buf;
    const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
    if (n > 0) {
      asked_ = true;
      endpoint_->loop_->UpdateWatch(fd_, EPOLLIN | EPOLLOUT);
    }
    if (n == 0 || (asked_ && !Send())) {
      endpoint_->loop_->Defer(
          [it = endpoint_, fd = fd_] { it->connections_.erase(fd); });
    }
  }

 private:
  //! Returns whether the connection stays open.
  bool Send() {
    const ssize_t n = send(fd_, pending_.data(), pending_.size(), MSG_NOSIGNAL);
    if (n > 0) {
      endpoint_->sent_ += static_cast<size_t>(n);
      pending_.erase(0, static_cast<size_t>(n));
    } else if (errno != EAGAIN) {
      return false;
    }
    if (pending_.empty()) {
      pending_ = endpoint_->filler_;
    }
    return !pending_.empty();
  }

  RawEndpoint* endpoint_;
  int fd_;
  std::string pending_;
  bool asked_ = false;
};

RawEndpoint::RawEndpoint(EventLoop* loop, std::string bytes, std::string filler)
    : loop_(loop), bytes_(std::move(bytes)), filler_(std::move(filler)) {
  const auto [fd, address] = ListenOnFreePort();
  fd_ = fd;
  address_ = address;
  loop_->Watch(fd_, EPOLLIN, this);
}

RawEndpoint::~RawEndpoint() {
  connections_.clear();
  loop_->Unwatch(fd_);
  close(fd_);
}

void RawEndpoint::OnReady(uint32_t) {
  const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK);
  if (fd >= 0) {
    connections_[fd] = std::make_unique<Connection>(this, fd);
  }
}

}  // namespace tamaracktrail
