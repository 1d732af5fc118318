#ifndef TESTS_SUPPORT_RAW_ENDPOINT_H_
#define TESTS_SUPPORT_RAW_ENDPOINT_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "transport/event_loop.h"
#include "transport/io_handler.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {

//! Answers each connection with fixed bytes, whatever it is asked, and closes
//! it or goes on without end. Not thread-safe.
class RawEndpoint : private IoHandler {
 public:
  //! Sends `bytes` on each connection, then `filler` again and again until the
  //! peer closes; an empty `filler` closes the connection instead.
  RawEndpoint(EventLoop* loop, std::string bytes, std::string filler);
  ~RawEndpoint() override;

  const std::string& address() const { return address_; }
  //! Bytes written so far on all connections.
  size_t sent() const { return sent_; }
  //! Open connections.
  size_t connections() const { return connections_.size(); }

 private:
  class Connection;

  void OnReady(uint32_t events) override;

  EventLoop* loop_;
  std::string bytes_;
  std::string filler_;
  std::string address_;
  int fd_;
  size_t sent_ = 0;
  std::map<int, std::unique_ptr<Connection>> connections_;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_RAW_ENDPOINT_H_
