#include "transport/relay/relay_server.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "transport/metrics.h"
#include "transport/relay/caller_connection.h"
#include "transport/relay/caller_request.h"

namespace tamaracktrail {

namespace {

//! Interval between checks of the connections' timeouts.
constexpr Millis kTimeoutCheckInterval{250};

//! Time without accepting after a failure, most likely for want of a
//! descriptor.
constexpr Millis kAcceptRetryInterval{10};

//! Connections accepted per wake-up; the rest wait for the next one.
constexpr int kAcceptsPerWakeUp = 64;

}  // namespace

RelayServer::RelayServer(EventLoop* loop,
                         int fd,
                         int max_connections,
                         RequestHandler handler,
                         Metrics* metrics)
    : loop_(loop),
      fd_(fd),
      max_connections_(static_cast<size_t>(max_connections)),
      handler_(std::move(handler)),
      metrics_(metrics) {
  loop_->Watch(fd_, EPOLLIN, this);
  Tick();
}

RelayServer::~RelayServer() {
  StopAccepting();
  loop_->Cancel(&tick_);
}

void RelayServer::StopAccepting() {
  loop_->Cancel(&resume_accepting_);
  if (fd_ >= 0) {
    loop_->Unwatch(fd_);
    close(fd_);
    fd_ = -1;
  }
}

void RelayServer::OnReady(uint32_t) {
  for (int i = 0; i < kAcceptsPerWakeUp; ++i) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        metrics_->Count("accept_errors_total");
        PauseAccepting();
      }
      return;
    }
    if (connections_.size() >= max_connections_) {
      metrics_->Count("connections_refused_total");
      close(fd);
      continue;
    }
    auto connection = std::make_unique<CallerConnection>(loop_, this, fd);
    CallerConnection* key = connection.get();
    connections_.emplace(key, std::move(connection));
  }
}

void RelayServer::PauseAccepting() {
  // The connection stays in the queue, so the descriptor stays readable.
  loop_->UpdateWatch(fd_, 0);
  resume_accepting_ = loop_->After(kAcceptRetryInterval, [this] {
    resume_accepting_ = {};
    loop_->UpdateWatch(fd_, EPOLLIN);
  });
}

void RelayServer::Tick() {
  std::vector<CallerConnection*> all;
  all.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) {
    all.push_back(key);
  }
  for (CallerConnection* it : all) {
    it->OnTick(loop_->Now());
  }
  tick_ = loop_->After(kTimeoutCheckInterval, [this] { Tick(); });
}

size_t RelayServer::open_requests() const {
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& it) { return it.second->has_open_request(); }));
}

bool RelayServer::busy() const {
  return std::any_of(
      connections_.begin(), connections_.end(), [](const auto& it) {
        return it.second->has_open_request() || it.second->has_unsent_bytes();
      });
}

std::unique_ptr<RequestTask> RelayServer::MakeTask(CallerConnection* connection,
                                                   CallerRequest request) {
  return handler_(connection, std::move(request));
}

void RelayServer::OnBadRequest(int status) {
  metrics_->Count(absl::StrCat("bad_requests_total{status=\"", status, "\"}"));
}

void RelayServer::Defer(CallerConnection* connection,
                        std::function<void()> callback) {
  loop_->Defer([this, connection, callback = std::move(callback)] {
    if (connections_.contains(connection)) {
      callback();
    }
  });
}

void RelayServer::Remove(CallerConnection* connection) {
  loop_->Defer([this, connection] { connections_.erase(connection); });
}

}  // namespace tamaracktrail
