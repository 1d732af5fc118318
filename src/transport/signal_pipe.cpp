#include "transport/signal_pipe.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <utility>

#include "transport/event_loop.h"

namespace tamaracktrail {

namespace {

//! Write end of the pipe, for the signal handler, which may only make
//! async-signal-safe calls.
volatile int write_fd = -1;

void OnSignal(int signal) {
  const int saved = errno;
  const auto byte = static_cast<unsigned char>(signal);
  // If the pipe is full, it already holds enough unhandled signals.
  [[maybe_unused]] const ssize_t n = write(write_fd, &byte, 1);
  errno = saved;
}

}  // namespace

SignalPipe::SignalPipe(EventLoop* loop, Callback callback)
    : loop_(loop), callback_(std::move(callback)) {
  PCHECK(pipe2(fds_, O_NONBLOCK | O_CLOEXEC) == 0) << "event=pipe_failed";
  write_fd = fds_[1];
  loop_->Watch(fds_[0], EPOLLIN, this);
  for (const int it : {SIGTERM, SIGINT, SIGHUP}) {
    struct sigaction action = {};
    action.sa_handler = &OnSignal;
    action.sa_flags = SA_RESTART;
    sigaction(it, &action, nullptr);
  }
}

SignalPipe::~SignalPipe() {
  for (const int it : {SIGTERM, SIGINT, SIGHUP}) {
    std::signal(it, SIG_IGN);
  }
  loop_->Unwatch(fds_[0]);
  write_fd = -1;
  close(fds_[0]);
  close(fds_[1]);
}

void SignalPipe::OnReady(uint32_t) {
  unsigned char byte = 0;
  while (read(fds_[0], &byte, 1) == 1) {
    callback_(byte);
  }
}

}  // namespace tamaracktrail
