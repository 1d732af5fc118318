#ifndef TRANSPORT_RELAY_ENDPOINT_POOL_H_
#define TRANSPORT_RELAY_ENDPOINT_POOL_H_

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
//! A connection that shows any sign of life while it is idle is closed: what
//! comes without a request belongs to none. Not thread-safe.
class EndpointPool {
 public:
  using BrokenCallback = std::function<void(uint64_t endpoint)>;

  //! `on_broken` hears of idle connections that were reset.
  EndpointPool(EventLoop* loop, BrokenCallback on_broken);
  ~EndpointPool();

  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  //! The connection used last, if it was idle for no longer than `max_idle`;
  //! nullptr for none.
  std::unique_ptr<TcpStream> Take(uint64_t endpoint, Millis max_idle);

  //! Keeps a connection for at most `keep`. Precondition: a whole answer was
  //! read from it and nothing else.
  void Put(uint64_t endpoint, std::unique_ptr<TcpStream> stream, Millis keep);

  //! Closes connections that were idle for too long.
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

#endif  // TRANSPORT_RELAY_ENDPOINT_POOL_H_
