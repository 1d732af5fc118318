#ifndef TRANSPORT_IO_HANDLER_H_
#define TRANSPORT_IO_HANDLER_H_

#include <cstdint>

namespace tamaracktrail {

//! Receives the events of a descriptor that EventLoop watches.
class IoHandler {
 public:
  virtual ~IoHandler() = default;

  //! `events` is a set of EPOLL flags. Called on the loop's thread.
  virtual void OnReady(uint32_t events) = 0;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_IO_HANDLER_H_
