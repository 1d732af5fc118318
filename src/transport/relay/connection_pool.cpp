#include "transport/relay/connection_pool.h"

#include <algorithm>
#include <string>
#include <utility>

#include "transport/event_loop.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {

//! Watches one idle connection and removes it on any input or failure.
class ConnectionPool::Idle : public TcpStream::Observer {
 public:
  Idle(ConnectionPool* pool,
       uint64_t endpoint,
       std::unique_ptr<TcpStream> stream,
       Millis idle_since,
       Millis expires_at)
      : pool_(pool),
        endpoint_(endpoint),
        stream_(std::move(stream)),
        idle_since_(idle_since),
        expires_at_(expires_at) {
    stream_->SetObserver(this);
  }

  void OnReadable() override {
    std::string buf;
    const auto result = stream_->Read(&buf, 1);
    if (result != TcpStream::ReadResult::kWouldBlock) {
      pool_->Remove(this, result == TcpStream::ReadResult::kFailed);
    }
  }

  void OnFailed(const absl::Status&) override { pool_->Remove(this, true); }

  uint64_t endpoint() const { return endpoint_; }
  Millis idle_since() const { return idle_since_; }
  Millis expires_at() const { return expires_at_; }
  std::unique_ptr<TcpStream> Release() { return std::move(stream_); }

 private:
  ConnectionPool* pool_;
  uint64_t endpoint_;
  std::unique_ptr<TcpStream> stream_;
  Millis idle_since_;
  Millis expires_at_;
};

ConnectionPool::ConnectionPool(EventLoop* loop, BrokenCallback on_broken)
    : loop_(loop), on_broken_(std::move(on_broken)) {}

ConnectionPool::~ConnectionPool() = default;

std::unique_ptr<TcpStream> ConnectionPool::Take(uint64_t endpoint,
                                                Millis max_idle) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) {
    return nullptr;
  }
  const Millis now = loop_->Now();
  std::unique_ptr<TcpStream> stream;
  while (!it->second.empty() && stream == nullptr) {
    const std::unique_ptr<Idle> newest = std::move(it->second.back());
    it->second.pop_back();
    if (now >= newest->expires_at()) {
      continue;
    }
    if (now - newest->idle_since() > max_idle) {
      break;
    }
    stream = newest->Release();
  }
  if (it->second.empty()) {
    idle_.erase(it);
  }
  return stream;
}

void ConnectionPool::Put(uint64_t endpoint,
                         std::unique_ptr<TcpStream> stream,
                         Millis keep_alive) {
  const Millis now = loop_->Now();
  idle_[endpoint].push_back(std::make_unique<Idle>(
      this, endpoint, std::move(stream), now, now + keep_alive));
}

void ConnectionPool::OnTick() {
  const Millis now = loop_->Now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second,
                  [&](const auto& idle) { return now >= idle->expires_at(); });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

void ConnectionPool::Remove(Idle* idle, bool broken) {
  const uint64_t endpoint = idle->endpoint();
  const auto it = idle_.find(endpoint);
  if (it != idle_.end()) {
    std::erase_if(it->second,
                  [&](const auto& other) { return other.get() == idle; });
    if (it->second.empty()) {
      idle_.erase(it);
    }
  }
  if (broken) {
    on_broken_(endpoint);
  }
}

size_t ConnectionPool::size() const {
  size_t n = 0;
  for (const auto& [endpoint, idle] : idle_) {
    n += idle.size();
  }
  return n;
}

}  // namespace tamaracktrail
