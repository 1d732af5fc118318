#ifndef TRANSPORT_RELAY_CONNECTION_POOL_H_
#define TRANSPORT_RELAY_CONNECTION_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "state/millis.h"

namespace tamaracktrail {

class EventLoop;
class TcpStream;

//! Idle connections to endpoints, by the hash of the endpoint's incarnation.
//!
//! An idle connection on which bytes, the end of the stream or an error arrive
//! is closed, as bytes without a request belong to no answer. Not thread-safe.
class ConnectionPool {
 public:
  using BrokenCallback = std::function<void(uint64_t endpoint)>;

  //! `on_broken` is called for each idle connection that failed.
  ConnectionPool(EventLoop* loop, BrokenCallback on_broken);
  ~ConnectionPool();

  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  //! Returns the most recently used connection if it was idle for at most
  //! `max_idle`, or nullptr.
  std::unique_ptr<TcpStream> Take(uint64_t endpoint, Millis max_idle);

  //! Keeps a connection for at most `keep_alive`. Precondition: a complete
  //! answer and no byte beyond it was read.
  void Put(uint64_t endpoint,
           std::unique_ptr<TcpStream> stream,
           Millis keep_alive);

  //! Closes connections that have expired.
  void OnTick();

  size_t size() const;

 private:
  class Idle;

  void Remove(Idle* idle, bool broken);

  EventLoop* loop_;
  BrokenCallback on_broken_;
  std::unordered_map<uint64_t, std::vector<std::unique_ptr<Idle>>> idle_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_CONNECTION_POOL_H_
