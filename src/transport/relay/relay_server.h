#ifndef TRANSPORT_RELAY_RELAY_SERVER_H_
#define TRANSPORT_RELAY_RELAY_SERVER_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "state/caller_limits.h"
#include "state/millis.h"
#include "transport/event_loop.h"
#include "transport/io_handler.h"
#include "transport/relay/request_task.h"

namespace tamaracktrail {

class CallerConnection;
class Metrics;

//! Accepts callers and owns their connections. Not thread-safe.
class RelayServer : private IoHandler {
 public:
  //! Takes over the listening descriptor `fd`.
  RelayServer(EventLoop* loop,
              int fd,
              int max_connections,
              RequestHandler handler,
              Metrics* metrics);
  ~RelayServer() override;

  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  //! Bounds of the configuration in force.
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }
  const CallerLimits& limits() const { return limits_; }

  //! From now on each answer ends its connection.
  void StartDraining() { draining_ = true; }
  bool draining() const { return draining_; }

  //! No more callers are accepted.
  void StopAccepting();

  //! Requests that are worked on.
  size_t busy() const;
  size_t connections() const { return connections_.size(); }

  // For the connections:

  std::unique_ptr<RequestTask> MakeTask(CallerConnection* connection,
                                        CallerRequest request);
  void OnBadRequest(int status);
  //! Calls `callback` after the handlers of this wake-up, unless the connection
  //! is gone by then.
  void Defer(CallerConnection* connection, std::function<void()> callback);
  //! Destroys the connection after the handlers of this wake-up.
  void Remove(CallerConnection* connection);

 private:
  void OnReady(uint32_t events) override;
  void Tick();

  EventLoop* loop_;
  int fd_;
  size_t max_connections_;
  RequestHandler handler_;
  Metrics* metrics_;
  CallerLimits limits_;
  bool draining_ = false;
  EventLoop::TimerId tick_{};
  std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>>
      connections_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_RELAY_SERVER_H_
