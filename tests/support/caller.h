#ifndef TESTS_SUPPORT_CALLER_H_
#define TESTS_SUPPORT_CALLER_H_

#include <memory>
#include <string>

#include "protocol/http_reader.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {

class EventLoop;

//! A caller that keeps its connection open after a request, and what came.
//! Not thread-safe.
class Caller : public TcpStream::Observer {
 public:
  //! Connects and sends `request`. Precondition: `loop` outlives the caller.
  Caller(EventLoop* loop, const std::string& address, std::string request);
  ~Caller() override;

  //! Sends another request on the same connection. Precondition: `reusable`.
  void Again(const std::string& request);

  //! Leaves without waiting.
  void Leave() { stream_.reset(); }

  bool whole() const { return reader_->done() && !broken_; }
  bool over() const { return whole() || ended_ || broken_; }
  bool reusable() const;
  int status() const { return reader_->head_done() ? reader_->status() : 0; }
  HttpReader& answer() { return *reader_; }

 private:
  void OnConnected() override;
  void OnReadable() override;
  void OnFailed(const absl::Status&) override { ended_ = true; }

  std::string request_;
  std::unique_ptr<HttpReader> reader_;
  std::string in_;
  bool ended_ = false;
  bool broken_ = false;
  std::unique_ptr<TcpStream> stream_;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_CALLER_H_
