#ifndef TRANSPORT_SIGNAL_PIPE_H_
#define TRANSPORT_SIGNAL_PIPE_H_

#include <functional>

#include "transport/io_handler.h"

namespace tamaracktrail {

class EventLoop;

//! Turns SIGTERM, SIGINT and SIGHUP into callbacks on the loop's thread. At
//! most one may exist in a process at a time. Later signals are ignored, so
//! that they don't change how the process ends.
class SignalPipe : private IoHandler {
 public:
  using Callback = std::function<void(int signal)>;

  //! Installs the signal handlers. Precondition: the loop outlives this object.
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
