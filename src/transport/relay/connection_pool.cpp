#include "transport/relay/connection_pool.h"

#include <algorithm>
#include <string>
#include <utility>

#include "transport/event_loop.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {

//! Watches one idle connection and removes it on any input or failure.
class ConnectionPool::IdleConnection : public TcpStream::Observer {
 public:
  IdleConnection(ConnectionPool* pool,
                 uint64_t key,
                 std::unique_ptr<TcpStream> stream,
                 Millis idle_since,
                 Millis expires_at)
      : pool_(pool),
        key_(key),
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

  uint64_t key() const { return key_; }
  Millis idle_since() const { return idle_since_; }
  Millis expires_at() const { return expires_at_; }
  std::unique_ptr<TcpStream> Release() { return std::move(stream_); }

 private:
  ConnectionPool* pool_;
  uint64_t key_;
  std::unique_ptr<TcpStream> stream_;
  Millis idle_since_;
  Millis expires_at_;
};

ConnectionPool::ConnectionPool(EventLoop* loop, FailedCallback on_failed)
    : loop_(loop), on_failed_(std::move(on_failed)) {}

ConnectionPool::~ConnectionPool() = default;

std::unique_ptr<TcpStream> ConnectionPool::Take(uint64_t key, Millis max_idle) {
  const auto it = idle_.find(key);
  if (it == idle_.end()) {
    return nullptr;
  }
  const Millis now = loop_->Now();
  std::unique_ptr<TcpStream> stream;
  while (!it->second.empty() && stream == nullptr) {
    const std::unique_ptr<IdleConnection> newest = std::move(it->second.back());
    it->second.pop_back();
    if (now >= newest->expires_at()) {
      continue;
    }
    if (now - newest->idle_since() > max_idle) {
      // The others have been idle for longer.
      break;
    }
    stream = newest->Release();
  }
  if (it->second.empty()) {
    idle_.erase(it);
  }
  return stream;
}

void ConnectionPool::Put(uint64_t key,
                         std::unique_ptr<TcpStream> stream,
                         Millis keep_alive) {
  const Millis now = loop_->Now();
  idle_[key].push_back(std::make_unique<IdleConnection>(
      this, key, std::move(stream), now, now + keep_alive));
}

void ConnectionPool::OnTick() {
  const Millis now = loop_->Now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second,
                  [&](const auto& idle) { return now >= idle->expires_at(); });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

void ConnectionPool::Clear() {
  idle_.clear();
}

void ConnectionPool::Remove(IdleConnection* idle, bool failed) {
  const uint64_t key = idle->key();
  const auto it = idle_.find(key);
  if (it != idle_.end()) {
    std::erase_if(it->second,
                  [&](const auto& other) { return other.get() == idle; });
    if (it->second.empty()) {
      idle_.erase(it);
    }
  }
  if (failed) {
    on_failed_(key);
  }
}

size_t ConnectionPool::size() const {
  size_t n = 0;
  for (const auto& [key, idle] : idle_) {
    n += idle.size();
  }
  return n;
}

}  // namespace tamaracktrail
