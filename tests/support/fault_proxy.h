#ifndef TESTS_SUPPORT_FAULT_PROXY_H_
#define TESTS_SUPPORT_FAULT_PROXY_H_

#include <memory>
#include <set>
#include <string>

#include "state/millis.h"
#include "transport/io_handler.h"

namespace tamaracktrail {

class EventLoop;

//! A TCP proxy on loopback that harms what passes through it. Not thread-safe.
class FaultProxy : private IoHandler {
 public:
  enum class Mode {
    kPass,
    kDelay,       //!< Each piece arrives some time later.
    kCut,         //!< Nothing passes; what is held arrives once it is healed.
    kCutForward,  //!< The same for bytes to the server only.
    kCutBack,     //!< The same for bytes to the client only.
    kSilence,     //!< Connections open now never carry a byte again.
    kReset,       //!< Connections are reset, new ones too.
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
  class Pipe;

  void OnReady(uint32_t events) override;

  EventLoop* loop_;
  std::string server_;
  std::string address_;
  int fd_;
  Mode mode_ = Mode::kPass;
  std::set<std::shared_ptr<Pipe>> pipes_;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_FAULT_PROXY_H_
