#ifndef TESTS_SUPPORT_EARLY_ENDPOINT_H_
#define TESTS_SUPPORT_EARLY_ENDPOINT_H_

#include <cstddef>
#include <map>
#include <memory>
#include <ostream>
#include <string>

#include "state/millis.h"
#include "transport/event_loop.h"
#include "transport/io_handler.h"

namespace tamaracktrail {

//! Answers each request before it has read all of it. Not thread-safe.
class EarlyEndpoint : private IoHandler {
 public:
  //! What happens to the connection after the answer.
  enum class End {
    kClose,         //!< It is closed, with bytes of the request unread.
    kReset,         //!< It is reset.
    kEndThenClose,  //!< The sending side ends at once, the rest is closed.
    kEndThenReset,  //!< The sending side ends at once, the rest is reset.
    kReadThenEnd,   //!< The request is read, then the connection is closed.
    kReadAndKeep,   //!< The request is read; the connection stays open.
  };

  struct Script {
    size_t read_before = 0;  //!< Bytes of the request read before the answer.
    std::string answer;      //!< "{id}" stands for the id of the request.
    End end = End::kClose;
    Millis delay;  //!< Between the answer and the close, reset or reading.
  };

  //! Listens on a free port of 127.0.0.1. Precondition: the loop outlives the
  //! endpoint; the head of each request arrives at once.
  EarlyEndpoint(EventLoop* loop, Script script);
  ~EarlyEndpoint() override;

  const std::string& address() const { return address_; }
  //! Requests that were begun.
  size_t requests() const { return requests_; }
  //! Requests that were read to their end.
  size_t complete_requests() const { return complete_requests_; }

 private:
  class Connection;

  void OnReady(uint32_t events) override;
  void Remove(int fd);

  EventLoop* loop_;
  Script script_;
  std::string address_;
  int fd_;
  size_t requests_ = 0;
  size_t complete_requests_ = 0;
  std::map<int, std::unique_ptr<Connection>> connections_;
};

std::ostream& operator<<(std::ostream& out, EarlyEndpoint::End end);

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_EARLY_ENDPOINT_H_
