#ifndef TRANSPORT_RELAY_CALLER_CONNECTION_H_
#define TRANSPORT_RELAY_CALLER_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "coordination/connection_slots.h"
#include "protocol/body_framing.h"
#include "protocol/byte_queue.h"
#include "state/caller_limits.h"
#include "state/millis.h"
#include "transport/event_loop.h"
#include "transport/relay/answer_head.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {

class ConnectionMemory;
class HttpReader;
class RequestTask;
class RelayServer;

//! One connection of a caller: reads requests one after another and writes
//! their answers.
//!
//! The connection is read while a request is in progress, so that a disconnect
//! is detected at once. Not thread-safe.
class CallerConnection : private TcpStream::Observer {
 public:
  //! `id` is unique among the connections of the server; `peer` is the
  //! caller's address.
  CallerConnection(EventLoop* loop,
                   RelayServer* server,
                   uint64_t id,
                   int fd,
                   std::string peer);
  ~CallerConnection() override;

  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  //! Writes the head of an answer. Precondition: a request is in progress and
  //! its answer has not begun.
  void BeginAnswer(const AnswerHead& head);
  //! Precondition: the answer has begun; the total stays within its length if
  //! it is framed by length.
  void WriteBody(std::string_view bytes);
  //! Completes the answer: with the last chunk, or by closing the connection in
  //! order if the answer has neither a length nor chunks. If that does not
  //! happen, such a connection is reset. The task is destroyed after the
  //! handlers of this wake-up.
  void EndAnswer();
  //! Writes a complete answer: with its length, unless `head` says that it ends
  //! with the connection. Precondition: as for `BeginAnswer`.
  void Answer(AnswerHead head, std::string_view body);
  //! Resets the connection, so that the caller can't take a partial answer for
  //! a complete one.
  void Abort();

  //! Whether the caller reads so slowly that the source of the answer has to
  //! pause.
  bool output_is_full() const;
  bool answer_begun() const { return answer_begun_; }
  //! How the answer's end is recognised. Precondition: the answer has begun.
  BodyFraming answer_framing() const { return answer_framing_; }
  uint64_t id() const { return id_; }
  const std::string& peer() const { return peer_; }
  bool has_open_request() const { return task_ != nullptr; }
  //! Whether bytes of an answer wait for the caller to read.
  bool has_unsent_bytes() const { return stream_->pending_bytes() > 0; }

  //! Closes the connection in favour of a new one, unless bytes of a request
  //! wait to be read or the caller has read more of its answer. Returns the
  //! phase that the connection is in if it remains open.
  std::optional<ConnectionSlots::Phase> GiveWay();

  //! Refuses the request that is being read, or resets the connection if an
  //! answer waits for the caller: the memory is needed for others.
  void CloseForMemory();

  //! Counts bytes that the task holds for its answer.
  void SetTaskBytes(size_t bytes);
  //! Whether the answer should not be collected in memory.
  bool memory_is_short() const;

  //! Refuses a request whose head is late, and closes a connection that
  //! exceeded its timeout.
  void OnTick(Millis now);

 private:
  enum class Phase { kReading, kServing, kLingering };

  void OnReadable() override;
  void OnDrained() override;
  void OnFailed(const absl::Status& status) override;

  void ReadRequest();
  //! Reads a pipelined request in the next wake-up: other connections are
  //! served before it, however many requests one read has.
  void ReadNextRequestLater();
  //! Whether the instance can hold the request so far; refuses it otherwise.
  bool ReserveRequest();
  void RejectRequest(int status, const char* reason);
  //! Tells the account what the connection holds.
  void UpdateHeld();
  void StartTask();
  void FinishTask();
  void StartLingering();
  //! Closes the sending side, which completes an answer without framing.
  void CloseInOrder();
  void Close();
  const CallerLimits& limits() const;

  EventLoop* loop_;
  RelayServer* server_;
  uint64_t id_;
  std::string peer_;
  ConnectionMemory* memory_;  //!< Null if nothing is counted.
  uint64_t memory_id_ = 0;
  size_t body_bytes_ = 0;  //!< Of the body: announced, or of the open request.
  size_t task_bytes_ = 0;
  uint64_t bytes_sent_ = 0;  //!< When the connection last had to give way.
  std::unique_ptr<TcpStream> stream_;
  std::unique_ptr<HttpReader> reader_;
  std::unique_ptr<RequestTask> task_;
  ByteQueue input_;
  Phase phase_ = Phase::kReading;
  Millis waiting_since_;  //!< Start of the current timeout.
  EventLoop::TimerId next_request_timer_{};
  bool request_begun_ = false;
  bool keep_alive_ = true;
  bool accepts_chunks_ = true;  //!< HTTP/1.0 does not know them.
  bool is_head_request_ = false;
  bool answer_begun_ = false;
  BodyFraming answer_framing_ = BodyFraming::kLength;
  bool close_after_ = false;
  bool closed_ = false;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_CALLER_CONNECTION_H_
