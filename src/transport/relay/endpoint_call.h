#ifndef TRANSPORT_RELAY_ENDPOINT_CALL_H_
#define TRANSPORT_RELAY_ENDPOINT_CALL_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "protocol/byte_queue.h"
#include "protocol/http_reader.h"
#include "state/millis.h"
#include "transport/event_loop.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {

class ConnectionPool;

//! One HTTP exchange with an endpoint: connects or reuses an idle connection,
//! sends a request once, and reads one answer.
//!
//! It never repeats the request. Destroying the call closes the connection. Not
//! thread-safe.
class EndpointCall : private TcpStream::Observer {
 public:
  //! Receives the answer; may destroy the call in any of its functions.
  class Observer {
   public:
    virtual ~Observer() = default;

    //! The head is complete. Returns false if the answer belongs to another
    //! request: it is read and discarded, and the next one is awaited.
    virtual bool OnAnswerHead(const HttpReader& answer) = 0;

    //! Bytes of the body; those left in `body` are passed again with the next
    //! ones.
    virtual void OnAnswerBody(std::string* body) = 0;

    //! The answer is complete.
    virtual void OnAnswerDone() = 0;

    //! The exchange failed before the answer was complete, or the connection
    //! was reset after an answer that ended with it. `sent`: bytes of the
    //! request may have reached the endpoint.
    virtual void OnCallFailed(const absl::Status& status, bool sent) = 0;
  };

  struct Options {
    uint64_t endpoint = 0;     //!< Key of its connections in the pool.
    std::string address;       //!< "ip:port".
    std::string request_id;    //!< For the log; may be empty.
    bool expects_body = true;  //!< False for the HEAD method.
    Millis connect_timeout;
    Millis ack_timeout;  //!< See TcpStream::Connect.
    Millis max_idle;     //!< Of a connection taken from the pool.
    //! Size limit of the answer's body. Without one, the observer has to limit
    //! the bytes that it keeps.
    uint64_t max_body_bytes = HttpReader::kNoBodyLimit;
  };

  //! Precondition: loop, pool and observer outlive the call.
  EndpointCall(EventLoop* loop,
               ConnectionPool* pool,
               Options options,
               Observer* observer);
  ~EndpointCall() override;

  EndpointCall(const EndpointCall&) = delete;
  EndpointCall& operator=(const EndpointCall&) = delete;

  //! Starts the exchange; failures are reported from the loop. Call once.
  void Start(const std::string& head, std::shared_ptr<const std::string> body);

  //! Pauses or resumes reading the answer, for back-pressure.
  void PauseReading(bool pause);

  //! Whether bytes of the request may have reached the endpoint.
  bool sent() const;
  bool reused() const { return reused_; }

 private:
  void OnConnected() override;
  void OnReadable() override;
  void OnFailed(const absl::Status& status) override;

  void SendRequest();
  bool ReadOnce(bool* ended);
  void ProcessInput(bool ended);
  void StartReader();
  //! Whether the answer has neither a length nor chunks.
  bool EndsWithConnection() const;
  bool FeedReader(bool ended);
  //! Returns false if the observer destroyed the call.
  bool NotifyObserver();
  void FinishAnswer();
  void Fail(const absl::Status& status);

  EventLoop* loop_;
  ConnectionPool* pool_;
  Options options_;
  Observer* observer_;
  std::unique_ptr<TcpStream> stream_;
  std::unique_ptr<HttpReader> reader_;
  std::string head_;
  std::shared_ptr<const std::string> body_;
  ByteQueue input_;
  EventLoop::TimerId connect_timer_{};
  uint64_t bytes_sent_before_ = 0;  //!< Bytes of earlier requests.
  bool request_written_ = false;
  bool reused_ = false;
  bool head_reported_ = false;
  bool answer_done_ = false;     //!< It has ended with the connection.
  bool discard_answer_ = false;  //!< The answer is interim or mismatched.
  bool saw_mismatched_answer_ = false;
  size_t unaccepted_bytes_ = 0;  //!< Read before the observer took a head.
  //! False after the call was destroyed; copies detect a destruction inside an
  //! observer's function.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_ENDPOINT_CALL_H_
