#ifndef TRANSPORT_RELAY_CALLER_CONNECTION_H_
#define TRANSPORT_RELAY_CALLER_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "state/caller_limits.h"
#include "state/millis.h"
#include "transport/relay/answer_head.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {

class EventLoop;
class HttpReader;
class RequestTask;
class RelayServer;

//! One connection of a caller: reads requests one after another and writes
//! their answers.
//!
//! Reading goes on while a request is worked on, so that a caller who leaves is
//! noticed at once. Not thread-safe.
class CallerConnection : private TcpStream::Observer {
 public:
  CallerConnection(EventLoop* loop, RelayServer* server, int fd);
  ~CallerConnection() override;

  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  //! Starts an answer. Precondition: a request is open and has no answer.
  void BeginAnswer(const AnswerHead& head);
  //! Precondition: the answer has begun; with a length, no byte beyond it.
  void WriteBody(std::string_view bytes);
  //! The answer is whole. The task is destroyed soon after.
  void EndAnswer();
  //! A whole answer in one go.
  void Answer(AnswerHead head, std::string_view body);
  //! Ends the connection so that the answer can't be taken for whole.
  void BreakOff();

  //! Whether the caller takes bytes more slowly than they come.
  bool congested() const;
  bool answer_begun() const { return answer_begun_; }
  bool busy() const { return task_ != nullptr; }

  //! Closes what took too long.
  void OnTick(Millis now);

 private:
  enum class Phase { kReading, kServing, kLingering };

  void OnReadable() override;
  void OnDrained() override;
  void OnFailed(const absl::Status& status) override;

  void ReadRequest();
  void Refuse(int status, const char* reason);
  void StartTask();
  void FinishTask();
  void StartLingering();
  void Close();
  const CallerLimits& limits() const;

  EventLoop* loop_;
  RelayServer* server_;
  std::unique_ptr<TcpStream> stream_;
  std::unique_ptr<HttpReader> reader_;
  std::unique_ptr<RequestTask> task_;
  std::string in_;
  Phase phase_ = Phase::kReading;
  Millis since_;  //!< Start of the present wait.
  bool request_begun_ = false;
  bool keep_alive_ = true;
  bool head_method_ = false;
  bool answer_begun_ = false;
  bool chunked_ = false;
  bool close_after_ = false;
  bool closed_ = false;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_CALLER_CONNECTION_H_
