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

//! Accepts HTTP connections of callers, health checks, metrics readers or
//! peers, and owns them. Not thread-safe.
class RelayServer : private IoHandler {
 public:
  //! Takes ownership of the listening descriptor `fd`.
  RelayServer(EventLoop* loop,
              int fd,
              int max_connections,
              RequestHandler handler,
              Metrics* metrics);
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

  // Called by the connections:

  std::unique_ptr<RequestTask> MakeTask(CallerConnection* connection,
                                        CallerRequest request);
  void OnBadRequest(int status);
  //! Calls `callback` after the handlers of this wake-up, unless the connection
  //! has been removed by then.
  void Defer(CallerConnection* connection, std::function<void()> callback);
  //! Destroys the connection after the handlers of this wake-up.
  void Remove(CallerConnection* connection);

 private:
  void OnReady(uint32_t events) override;
  void PauseAccepting();
  void Tick();

  EventLoop* loop_;
  int fd_;
  size_t max_connections_;
  RequestHandler handler_;
  Metrics* metrics_;
  CallerLimits limits_;
  bool draining_ = false;
  EventLoop::TimerId tick_{};
  EventLoop::TimerId resume_accepting_{};
  std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>>
      connections_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_RELAY_SERVER_H_
