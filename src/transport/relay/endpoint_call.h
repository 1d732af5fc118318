#ifndef TRANSPORT_RELAY_ENDPOINT_CALL_H_
#define TRANSPORT_RELAY_ENDPOINT_CALL_H_

#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "state/millis.h"
#include "transport/event_loop.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {

class EndpointPool;
class HttpReader;

//! One HTTP exchange with an endpoint: connects or takes an idle connection,
//! sends a request once, and reads one answer.
//!
//! It never sends again by itself. Destroying it closes the connection. Not
//! thread-safe.
class EndpointCall : private TcpStream::Observer {
 public:
  //! Hears of the answer; may destroy the call in any of its functions.
  class Observer {
   public:
    virtual ~Observer() = default;

    //! The head is complete. Returns false where the answer belongs to another
    //! request: it is read and thrown away, and the next one is awaited.
    virtual bool OnAnswerHead(const HttpReader& answer) = 0;

    //! Bytes of the body; what is left in `body` comes again.
    virtual void OnAnswerBody(std::string* body) = 0;

    //! The answer is whole.
    virtual void OnAnswerDone() = 0;

    //! No (whole) answer will come. `sent`: bytes of the request may have
    //! reached the endpoint.
    virtual void OnCallFailed(const absl::Status& status, bool sent) = 0;
  };

  struct Options {
    uint64_t endpoint = 0;  //!< Names the endpoint's connections in the pool.
    std::string address;    //!< "ip:port".
    bool expects_body = true;  //!< False for the HEAD method.
    Millis connect_timeout;
    Millis unacknowledged;  //!< Longest time without a sign from the peer.
    Millis max_idle;        //!< Of a connection that is taken from the pool.
  };

  //! Precondition: loop, pool and observer outlive the call.
  EndpointCall(EventLoop* loop,
               EndpointPool* pool,
               Options options,
               Observer* observer);
  ~EndpointCall() override;

  EndpointCall(const EndpointCall&) = delete;
  EndpointCall& operator=(const EndpointCall&) = delete;

  //! Starts the exchange; failures are told from the loop. Call once.
  void Start(const std::string& head, std::shared_ptr<const std::string> body);

  //! Stops or goes on reading the answer, for back-pressure.
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
  void Progress(bool ended);
  void StartReader();
  bool FeedReader(bool ended);
  //! False once the call was destroyed.
  bool TellObserver();
  void FinishAnswer();
  void Fail(const absl::Status& status);

  EventLoop* loop_;
  EndpointPool* pool_;
  Options options_;
  Observer* observer_;
  std::unique_ptr<TcpStream> stream_;
  std::unique_ptr<HttpReader> reader_;
  std::string head_;
  std::shared_ptr<const std::string> body_;
  std::string in_;
  EventLoop::TimerId connect_timer_{};
  uint64_t sent_before_ = 0;  //!< By earlier requests on this connection.
  bool request_written_ = false;
  bool reused_ = false;
  bool head_told_ = false;
  bool foreign_ = false;  //!< The answer being read belongs to another request.
  bool met_foreign_ = false;
  //! Guards against destruction inside an observer's function.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_ENDPOINT_CALL_H_
