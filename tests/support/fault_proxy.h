#ifndef TESTS_SUPPORT_FAULT_PROXY_H_
#define TESTS_SUPPORT_FAULT_PROXY_H_

#include <memory>
#include <set>
#include <string>

#include "state/millis.h"
#include "transport/io_handler.h"

namespace tamaracktrail {

class EventLoop;

//! A TCP proxy on loopback that injects network faults. Not thread-safe.
class FaultProxy : private IoHandler {
 public:
  enum class Mode {
    kPass,
    kDelay,          //!< Data is forwarded 150 ms after it was read.
    kStall,          //!< Data is held back until the mode changes.
    kStallToServer,  //!< As kStall, only for bytes to the server.
    kStallToClient,  //!< As kStall, only for bytes to the client.
    //! Connections that are open or opened in this mode never forward a byte
    //! again, even after the mode has changed.
    kBlackhole,
    kReset,   //!< Open and new connections are reset.
    kRefuse,  //!< As kReset, and new ones are refused. Final.
  };

  //! Precondition: `loop` outlives the proxy.
  FaultProxy(EventLoop* loop, std::string server);
  ~FaultProxy() override;

  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const std::string& address() const { return address_; }
  void SetMode(Mode mode);
  Mode mode() const { return mode_; }

 private:
  class ConnectionPair;

  void OnReady(uint32_t events) override;
  void StopListening();

  EventLoop* loop_;
  std::string server_;
  std::string address_;
  int fd_;
  Mode mode_ = Mode::kPass;
  std::set<std::shared_ptr<ConnectionPair>> pairs_;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_FAULT_PROXY_H_
