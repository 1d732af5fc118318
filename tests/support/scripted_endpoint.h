#ifndef TESTS_SUPPORT_SCRIPTED_ENDPOINT_H_
#define TESTS_SUPPORT_SCRIPTED_ENDPOINT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "transport/event_loop.h"
#include "transport/io_handler.h"

namespace tamaracktrail {

//! Answers the n-th request with the n-th of its answers, and all further ones
//! with the last. Reads one request on a connection, unless the answer serves
//! the next one as well. Not thread-safe.
class ScriptedEndpoint : private IoHandler {
 public:
  enum class End {
    kClose,      //!< In order, as a process that ends does.
    kReset,      //!< With a reset.
    kKeepOpen,   //!< Nothing more is sent.
    kServeNext,  //!< The next request on the connection is answered.
  };
  struct Answer {
    //! Head and body; "{id}" stands for the id of the request.
    std::string bytes;
    End end = End::kClose;
  };

  //! Precondition: `answers` is not empty; the loop outlives the endpoint.
  ScriptedEndpoint(EventLoop* loop, std::vector<Answer> answers);
  ~ScriptedEndpoint() override;

  const std::string& address() const { return address_; }
  size_t requests() const { return requests_; }

  //! Closes all connections and accepts none any more.
  void Crash();

 private:
  class Connection;

  void OnReady(uint32_t events) override;
  const Answer& NextAnswer();

  EventLoop* loop_;
  std::vector<Answer> answers_;
  std::string address_;
  int fd_;
  size_t requests_ = 0;
  std::map<int, std::unique_ptr<Connection>> connections_;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_SCRIPTED_ENDPOINT_H_
