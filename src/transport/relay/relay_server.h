#ifndef TRANSPORT_RELAY_RELAY_SERVER_H_
#define TRANSPORT_RELAY_RELAY_SERVER_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "coordination/connection_slots.h"
#include "state/caller_limits.h"
#include "state/millis.h"
#include "transport/event_loop.h"
#include "transport/io_handler.h"
#include "transport/relay/request_task.h"

namespace tamaracktrail {

class CallerConnection;
class ConnectionMemory;
class Metrics;

//! Accepts HTTP connections of callers, health checks, metrics readers or
//! peers, and owns them. Not thread-safe.
class RelayServer : private IoHandler {
 public:
  //! Takes ownership of the listening descriptor `fd`. `memory`: counts what
  //! the connections hold and outlives the server; null if nothing does.
  RelayServer(EventLoop* loop,
              int fd,
              int max_connections,
              RequestHandler handler,
              Metrics* metrics,
              ConnectionMemory* memory = nullptr);
  ~RelayServer() override;

  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  //! Sets the limits of the configuration in force.
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }
  const CallerLimits& limits() const { return limits_; }

  //! From now on, each connection is closed after its next answer.
  void StartDraining() { draining_ = true; }
  bool draining() const { return draining_; }

  //! Closes the listening descriptor; open connections stay open.
  void StopAccepting();

  //! Number of requests in progress.
  size_t open_requests() const;
  //! Whether a request is in progress, or bytes of an answer are not yet handed
  //! to the kernel.
  bool busy() const;
  size_t connections() const { return connections_.size(); }

  //! Whether a connection was refused within the last second, since all slots
  //! have a request in progress: callers had better be sent elsewhere.
  bool full() const;
  //! Idle connections that were closed in favour of new ones so far, and
  //! connections that found no slot.
  int64_t gave_way() const { return gave_way_; }
  int64_t refused() const { return refused_; }

  // Called by the connections:

  std::unique_ptr<RequestTask> MakeTask(CallerConnection* connection,
                                        CallerRequest request);
  ConnectionMemory* memory() { return memory_; }
  void OnBadRequest(int status);
  //! The connection entered `phase`, or received bytes in it.
  void OnPhase(uint64_t connection, ConnectionSlots::Phase phase);
  //! Calls `callback` after the handlers of this wake-up, unless the connection
  //! has been removed by then.
  void Defer(CallerConnection* connection, std::function<void()> callback);
  //! Destroys the connection after the handlers of this wake-up.
  void Remove(CallerConnection* connection);

 private:
  void OnReady(uint32_t events) override;
  //! Whether there is a slot for a connection from `address` now; closes
  //! another connection for it if necessary.
  bool MakeRoom(uint32_t address);
  void PauseAccepting();
  void Tick();

  EventLoop* loop_;
  int fd_;
  ConnectionSlots slots_;
  RequestHandler handler_;
  Metrics* metrics_;
  ConnectionMemory* memory_;
  CallerLimits limits_;
  bool draining_ = false;
  EventLoop::TimerId tick_{};
  EventLoop::TimerId resume_accepting_{};
  uint64_t last_id_ = 0;
  int64_t gave_way_ = 0;
  int64_t refused_ = 0;
  Millis full_at_;  //!< Last refusal for want of a slot; 0 for never.
  //! By `CallerConnection::id`.
  std::unordered_map<uint64_t, std::unique_ptr<CallerConnection>> connections_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_RELAY_SERVER_H_
