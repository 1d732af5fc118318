#ifndef TRANSPORT_RELAY_CONNECTION_MEMORY_H_
#define TRANSPORT_RELAY_CONNECTION_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "coordination/connection_account.h"
#include "transport/event_loop.h"

namespace tamaracktrail {

class CallerConnection;
class Metrics;

//! Keeps the account of the connections of all listeners and applies its
//! decisions to them. Not thread-safe.
class ConnectionMemory {
 public:
  //! `budget`: bytes for all connections. Precondition: loop and metrics
  //! outlive this object, which outlives the connections.
  ConnectionMemory(EventLoop* loop, Metrics* metrics, size_t budget);

  //! Returns the connection's id.
  uint64_t Add(CallerConnection* connection);
  void Remove(uint64_t id);
  //! See ConnectionAccount::Set. Closes connections after the handlers of this
  //! wake-up if the budget is exceeded.
  void Set(uint64_t id, size_t bytes, bool may_close);
  //! Whether the connection may hold `bytes` in all. Closes others for it if
  //! necessary.
  bool Request(uint64_t id, size_t bytes);

  bool is_short() const { return account_.is_short(); }
  const ConnectionAccount& account() const { return account_; }
  //! Requests refused and connections closed for want of memory so far.
  int64_t refused() const { return refused_; }
  int64_t closed() const { return closed_; }

 private:
  void CloseUntilWithinBudget();
  void CloseOne(uint64_t id);

  EventLoop* loop_;
  Metrics* metrics_;
  ConnectionAccount account_;
  std::unordered_map<uint64_t, CallerConnection*> connections_;
  uint64_t last_id_ = 0;
  int64_t refused_ = 0;
  int64_t closed_ = 0;
  bool close_scheduled_ = false;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_CONNECTION_MEMORY_H_
