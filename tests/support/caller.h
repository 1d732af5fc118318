#ifndef TESTS_SUPPORT_CALLER_H_
#define TESTS_SUPPORT_CALLER_H_

#include <memory>
#include <string>

#include "protocol/http_reader.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {

class EventLoop;

//! A test HTTP client that keeps its connection open after a request and holds
//! the answer. Not thread-safe.
class Caller : public TcpStream::Observer {
 public:
  //! Connects and sends `request`. Precondition: `loop` outlives this object.
  Caller(EventLoop* loop, const std::string& address, std::string request);
  ~Caller() override;

  //! Sends another request on the same connection. Precondition:
  //! reusable().
  void SendAnother(const std::string& request);

  //! Stops or resumes reading the answer.
  void PauseReading(bool pause) { stream_->PauseReading(pause); }

  //! Closes the sending side; the answer is still read.
  void ShutDownWriting() { stream_->ShutDownWriting(); }

  //! Closes the connection without waiting for the answer.
  void Disconnect() { stream_.reset(); }

  //! Whether the answer is complete as far as its framing tells. One that ends
  //! with the connection is, unless the connection was reset.
  bool complete() const { return reader_->done() && !malformed_; }
  //! Whether the end of the answer is known from more than the end of the
  //! connection.
  bool has_known_end() const {
    return complete() && reader_->framing() != BodyFraming::kConnectionEnd;
  }
  bool finished() const {
    return complete() || connection_ended_ || malformed_;
  }
  bool reusable() const;
  int status() const { return reader_->head_done() ? reader_->status() : 0; }
  HttpReader& answer() { return *reader_; }

 private:
  void OnConnected() override;
  void OnReadable() override;
  void OnFailed(const absl::Status&) override { connection_ended_ = true; }

  std::string request_;
  std::unique_ptr<HttpReader> reader_;
  std::string input_;
  bool connection_ended_ = false;
  bool malformed_ = false;
  std::unique_ptr<TcpStream> stream_;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_CALLER_H_
