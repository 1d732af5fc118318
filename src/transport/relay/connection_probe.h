#ifndef TRANSPORT_RELAY_CONNECTION_PROBE_H_
#define TRANSPORT_RELAY_CONNECTION_PROBE_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "state/millis.h"
#include "transport/event_loop.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {

//! Finds out whether an address accepts connections, by opening one and closing
//! it at once. Destroying the probe cancels it. Not thread-safe.
class ConnectionProbe : private TcpStream::Observer {
 public:
  //! Called once from the loop; may destroy the probe.
  using OnResult = std::function<void(bool accepts)>;

  //! An address that does not answer within `timeout` does not accept.
  //! Precondition: `loop` outlives the probe.
  ConnectionProbe(EventLoop* loop,
                  const std::string& address,
                  Millis timeout,
                  OnResult on_result);
  ~ConnectionProbe() override;

  ConnectionProbe(const ConnectionProbe&) = delete;
  ConnectionProbe& operator=(const ConnectionProbe&) = delete;

 private:
  void OnConnected() override { Finish(true); }
  void OnReadable() override {}
  void OnFailed(const absl::Status&) override { Finish(false); }
  void Finish(bool accepts);

  EventLoop* loop_;
  OnResult on_result_;
  EventLoop::TimerId timer_{};
  std::unique_ptr<TcpStream> stream_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_CONNECTION_PROBE_H_
