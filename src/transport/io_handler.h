#ifndef TRANSPORT_IO_HANDLER_H_
#define TRANSPORT_IO_HANDLER_H_

#include <cstdint>

namespace tamaracktrail {

//! Told when a descriptor can be read or written.
class IoHandler {
 public:
  virtual ~IoHandler() = default;

  //! `events` holds EPOLL flags. Called on the loop's thread.
  virtual void OnReady(uint32_t events) = 0;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_IO_HANDLER_H_
