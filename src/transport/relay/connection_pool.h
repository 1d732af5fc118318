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

//! Idle connections by a key that the user chooses, such as the hash of an
//! endpoint's incarnation or of an address.
//!
//! An idle connection on which bytes, the end of the stream or an error arrive
//! is closed, as bytes without a request belong to no answer. Not thread-safe.
class ConnectionPool {
 public:
  using FailedCallback = std::function<void(uint64_t key)>;

  //! `on_failed` is called for each idle connection that failed, but not if the
  //! peer closed it in order.
  ConnectionPool(EventLoop* loop, FailedCallback on_failed);
  ~ConnectionPool();

  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  //! Returns the most recently used connection if it was idle for at most
  //! `max_idle`, or nullptr.
  std::unique_ptr<TcpStream> Take(uint64_t key, Millis max_idle);

  //! Keeps a connection for at most `keep_alive`. Precondition: a complete
  //! answer and no byte beyond it was read.
  void Put(uint64_t key, std::unique_ptr<TcpStream> stream, Millis keep_alive);

  //! Closes connections that have expired.
  void OnTick();

  //! Closes all idle connections.
  void Clear();

  size_t size() const;

 private:
  class IdleConnection;

  void Remove(IdleConnection* idle, bool failed);

  EventLoop* loop_;
  FailedCallback on_failed_;
  std::unordered_map<uint64_t, std::vector<std::unique_ptr<IdleConnection>>>
      idle_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_CONNECTION_POOL_H_
