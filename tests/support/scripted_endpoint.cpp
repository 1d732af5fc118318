#include "support/scripted_endpoint.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_replace.h"
#include "protocol/http_reader.h"
#include "state/millis.h"
#include "support/loopback.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {

namespace {

constexpr size_t kReadBytes = 65536;
//! Between the last byte of an answer and the end of its connection, so that
//! the peer reads the bytes before a reset.
constexpr Millis kEndDelay{10};

}  // namespace

class ScriptedEndpoint::Connection : public TcpStream::Observer {
 public:
  Connection(ScriptedEndpoint* endpoint, int fd)
      : endpoint_(endpoint),
        fd_(fd),
        reader_(std::make_unique<HttpReader>(HttpReader::Kind::kRequest,
                                             kReadBytes,
                                             HttpReader::kNoBodyLimit)),
        stream_(TcpStream::Adopt(endpoint->loop_, fd, this)) {}
  ~Connection() override { endpoint_->loop_->Cancel(&timer_); }

  void OnReadable() override {
    const auto result = stream_->Read(&input_, kReadBytes);
    if (result == TcpStream::ReadResult::kEndOfStream ||
        result == TcpStream::ReadResult::kFailed) {
      Remove();
      return;
    }
    if (answered_ || !reader_->Feed(&input_).ok() || !reader_->done()) {
      return;
    }
    const Answer& answer = endpoint_->NextAnswer();
    stream_->Write(absl::StrReplaceAll(
        answer.bytes,
        {{"{id}",
          std::string(reader_->fields().Find("X-Request-Id").value_or(""))}}));
    stream_->Flush();
    if (answer.end == End::kServeNext) {
      reader_ = std::make_unique<HttpReader>(
          HttpReader::Kind::kRequest, kReadBytes, HttpReader::kNoBodyLimit);
      return;
    }
    answered_ = true;
    if (answer.end != End::kKeepOpen) {
      timer_ = endpoint_->loop_->After(kEndDelay, [this, end = answer.end] {
        if (end == End::kReset) {
          stream_->SetResetOnClose(true);
        }
        Remove();
      });
    }
  }

  void OnFailed(const absl::Status&) override { Remove(); }

 private:
  void Remove() {
    endpoint_->loop_->Defer(
        [it = endpoint_, fd = fd_] { it->connections_.erase(fd); });
  }

  ScriptedEndpoint* endpoint_;
  int fd_;
  std::unique_ptr<HttpReader> reader_;
  std::string input_;
  bool answered_ = false;
  std::unique_ptr<TcpStream> stream_;
  EventLoop::TimerId timer_{};
};

ScriptedEndpoint::ScriptedEndpoint(EventLoop* loop, std::vector<Answer> answers)
    : loop_(loop), answers_(std::move(answers)) {
  const auto [fd, address] = ListenOnFreePort();
  fd_ = fd;
  address_ = address;
  loop_->Watch(fd_, EPOLLIN, this);
}

ScriptedEndpoint::~ScriptedEndpoint() {
  Crash();
}

void ScriptedEndpoint::Crash() {
  connections_.clear();
  if (fd_ >= 0) {
    loop_->Unwatch(fd_);
    close(std::exchange(fd_, -1));
  }
}

const ScriptedEndpoint::Answer& ScriptedEndpoint::NextAnswer() {
  return answers_[std::min(requests_++, answers_.size() - 1)];
}

void ScriptedEndpoint::OnReady(uint32_t) {
  const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK);
  if (fd >= 0) {
    connections_[fd] = std::make_unique<Connection>(this, fd);
  }
}

}  // namespace tamaracktrail
