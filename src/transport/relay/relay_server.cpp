#include "transport/relay/relay_server.h"

#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "transport/metrics.h"
#include "transport/relay/caller_connection.h"
#include "transport/relay/caller_request.h"
#include "transport/relay/connection_memory.h"
#include "transport/socket_address.h"

namespace tamaracktrail {

namespace {

//! Interval between checks of the connections' timeouts.
constexpr Millis kTimeoutCheckInterval{250};

//! Time without accepting after a failure, most likely for want of a
//! descriptor.
constexpr Millis kAcceptRetryInterval{10};

//! Connections accepted per wake-up; the rest wait for the next one.
constexpr int kAcceptsPerWakeUp = 64;

//! Connections that are tried for one new connection: some may turn out to have
//! received a request that has not been read.
constexpr int kMaxTriesToMakeRoom = 8;

//! Time for which the server counts as full after a refusal.
constexpr Millis kFullTime{1000};

//! The kernel's buffers of a connection in each direction. What they hold
//! counts on the machine, by default up to 6 MB for a connection. With 32 KiB
//! and less, transfers of 80 KB over the loopback link took 44 ms longer in a
//! trial, from 40 KiB on none did; so they are smaller only for connections
//! that are accepted while memory is short.
constexpr int kKernelBytes = 48 * 1024;
constexpr int kKernelBytesIfShort = 16 * 1024;

//! `fd`: a connection, or a listening descriptor for those that it accepts.
void LimitKernelBuffers(int fd, int bytes) {
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

}  // namespace

RelayServer::RelayServer(EventLoop* loop,
                         int fd,
                         int max_connections,
                         RequestHandler handler,
                         Metrics* metrics,
                         ConnectionMemory* memory)
    : loop_(loop),
      fd_(fd),
      slots_(static_cast<size_t>(max_connections)),
      handler_(std::move(handler)),
      metrics_(metrics),
      memory_(memory) {
  if (memory_ != nullptr) {
    LimitKernelBuffers(fd, kKernelBytes);
  }
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
  loop_->SetTurnOwner("accept", {});
  for (int i = 0; i < kAcceptsPerWakeUp; ++i) {
    sockaddr_in from{};
    socklen_t n = sizeof(from);
    const int fd = accept4(fd_, reinterpret_cast<sockaddr*>(&from), &n,
                           SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        metrics_->Count("accept_errors_total");
        PauseAccepting();
      }
      return;
    }
    if (!MakeRoom(from.sin_addr.s_addr)) {
      metrics_->Count("connections_refused_total");
      ++refused_;
      close(fd);
      continue;
    }
    if (memory_ != nullptr && memory_->is_short()) {
      LimitKernelBuffers(fd, kKernelBytesIfShort);
    }
    const uint64_t id = ++last_id_;
    slots_.Add(loop_->Now(), id, from.sin_addr.s_addr);
    connections_.emplace(
        id, std::make_unique<CallerConnection>(loop_, this, id, fd,
                                               FormatSocketAddress(from)));
  }
}

bool RelayServer::MakeRoom(uint32_t address) {
  const Millis now = loop_->Now();
  for (int i = 0; i < kMaxTriesToMakeRoom; ++i) {
    const ConnectionSlots::Admission admission = slots_.Admit(now, address);
    if (!admission.accepts) {
      break;
    }
    if (!admission.closes) {
      return true;
    }
    const std::optional<ConnectionSlots::Phase> phase =
        connections_.at(*admission.closes)->GiveWay();
    if (!phase) {
      metrics_->Count("connections_gave_way_total");
      ++gave_way_;
      // At once, so that its descriptor is free before the next one is taken.
      // None of its handlers is running.
      connections_.erase(*admission.closes);
      return true;
    }
    slots_.Update(now, *admission.closes, *phase);
  }
  if (slots_.size() >= slots_.capacity()) {
    full_at_ = now;
  }
  return false;
}

bool RelayServer::full() const {
  return full_at_ > Millis(0) && loop_->Now() - full_at_ < kFullTime;
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
    all.push_back(connection.get());
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

void RelayServer::OnPhase(uint64_t connection, ConnectionSlots::Phase phase) {
  slots_.Update(loop_->Now(), connection, phase);
}

void RelayServer::Defer(CallerConnection* connection,
                        std::function<void()> callback) {
  loop_->Defer([this, id = connection->id(), callback = std::move(callback)] {
    if (connections_.contains(id)) {
      callback();
    }
  });
}

void RelayServer::Remove(CallerConnection* connection) {
  slots_.Remove(connection->id());
  loop_->Defer([this, id = connection->id()] { connections_.erase(id); });
}

}  // namespace tamaracktrail
