#include "support/early_endpoint.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "absl/strings/str_replace.h"
#include "protocol/http_reader.h"
#include "support/loopback.h"

namespace tamaracktrail {

namespace {

constexpr uint32_t kMaxHeadBytes = 64 * 1024;
constexpr size_t kReadBytes = 64 * 1024;

}  // namespace

class EarlyEndpoint::Connection : public IoHandler {
 public:
  Connection(EarlyEndpoint* endpoint, int fd)
      : endpoint_(endpoint),
        fd_(fd),
        reader_(HttpReader::Kind::kRequest,
                kMaxHeadBytes,
                HttpReader::kNoBodyLimit) {
    endpoint_->loop_->Watch(fd_, EPOLLIN, this);
  }
  ~Connection() override {
    endpoint_->loop_->Cancel(&timer_);
    endpoint_->loop_->Unwatch(fd_);
    close(fd_);
  }

  void OnReady(uint32_t) override {
    if (!answered_) {
      ReadUpTo(std::max(endpoint_->script_.read_before, kHeadBytes));
      if (reader_.head_done() && read_ >= endpoint_->script_.read_before) {
        Answer();
      }
      return;
    }
    ReadUpTo(read_ + kReadBytes);
    if (reader_.done() && !complete_) {
      complete_ = true;
      ++endpoint_->complete_requests_;
      if (endpoint_->script_.end == End::kReadThenEnd) {
        endpoint_->Remove(fd_);
      }
    }
  }

 private:
  //! Enough for the head of a request, and little of its body.
  static constexpr size_t kHeadBytes = 1024;

  void ReadUpTo(size_t total) {
    std::array<char, kReadBytes> buf;
    while (read_ < total) {
      const ssize_t n =
          recv(fd_, buf.data(), std::min(buf.size(), total - read_), 0);
      if (n <= 0) {
        if (n == 0 || errno != EAGAIN) {
          endpoint_->Remove(fd_);
        }
        return;
      }
      read_ += static_cast<size_t>(n);
      input_.append(buf.data(), static_cast<size_t>(n));
      if (!reader_.Feed(&input_).ok()) {
        endpoint_->Remove(fd_);
        return;
      }
      reader_.body().clear();
    }
  }

  void Answer() {
    answered_ = true;
    ++endpoint_->requests_;
    const Script& script = endpoint_->script_;
    const std::string bytes = absl::StrReplaceAll(
        script.answer,
        {{"{id}",
          std::string(reader_.fields().Find("X-Request-Id").value_or(""))}});
    send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (script.end == End::kEndThenClose || script.end == End::kEndThenReset) {
      shutdown(fd_, SHUT_WR);
    }
    endpoint_->loop_->UpdateWatch(fd_, 0);
    timer_ = endpoint_->loop_->After(script.delay, [this] { AfterAnswer(); });
  }

  void AfterAnswer() {
    switch (endpoint_->script_.end) {
      case End::kReset:
      case End::kEndThenReset: {
        const linger option{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        endpoint_->Remove(fd_);
        return;
      }
      case End::kClose:
      case End::kEndThenClose:
        endpoint_->Remove(fd_);
        return;
      case End::kReadThenEnd:
      case End::kReadAndKeep:
        endpoint_->loop_->UpdateWatch(fd_, EPOLLIN);
        return;
    }
  }

  EarlyEndpoint* endpoint_;
  int fd_;
  HttpReader reader_;
  std::string input_;
  size_t read_ = 0;
  bool answered_ = false;
  bool complete_ = false;
  EventLoop::TimerId timer_{};
};

EarlyEndpoint::EarlyEndpoint(EventLoop* loop, Script script)
    : loop_(loop), script_(std::move(script)) {
  const auto [fd, address] = ListenOnFreePort();
  fd_ = fd;
  address_ = address;
  loop_->Watch(fd_, EPOLLIN, this);
}

EarlyEndpoint::~EarlyEndpoint() {
  connections_.clear();
  loop_->Unwatch(fd_);
  close(fd_);
}

void EarlyEndpoint::OnReady(uint32_t) {
  const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK);
  if (fd >= 0) {
    connections_[fd] = std::make_unique<Connection>(this, fd);
  }
}

void EarlyEndpoint::Remove(int fd) {
  loop_->Defer([this, fd] { connections_.erase(fd); });
}

std::ostream& operator<<(std::ostream& out, EarlyEndpoint::End end) {
  constexpr const char* kNames[] = {"Close",        "Reset",
                                    "EndThenClose", "EndThenReset",
                                    "ReadThenEnd",  "ReadAndKeep"};
  return out << kNames[static_cast<int>(end)];
}

}  // namespace tamaracktrail
