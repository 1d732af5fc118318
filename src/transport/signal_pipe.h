#ifndef TRANSPORT_SIGNAL_PIPE_H_
#define TRANSPORT_SIGNAL_PIPE_H_

#include <functional>

#include "transport/io_handler.h"

namespace tamaracktrail {

class EventLoop;

//! Turns SIGTERM, SIGINT and SIGHUP into calls on the loop's thread. One at a
//! time in a process.
class SignalPipe : private IoHandler {
 public:
  using Callback = std::function<void(int signal)>;

  //! Installs the handlers. Precondition: the loop outlives this.
  SignalPipe(EventLoop* loop, Callback callback);
  ~SignalPipe() override;

  SignalPipe(const SignalPipe&) = delete;
  SignalPipe& operator=(const SignalPipe&) = delete;

 private:
  void OnReady(uint32_t events) override;

  EventLoop* loop_;
  Callback callback_;
  int fds_[2];
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_SIGNAL_PIPE_H_
