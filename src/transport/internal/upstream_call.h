#ifndef TRANSPORT_INTERNAL_UPSTREAM_CALL_H_
#define TRANSPORT_INTERNAL_UPSTREAM_CALL_H_

#include <functional>
#include <memory>
#include <string>

#include "coordination/upstream_event.h"
#include "state/millis.h"

typedef struct _SoupSession SoupSession;

namespace tamaracktrail {

//! One try of a request at an endpoint. Belongs to the task that created it.
class UpstreamCall {
 public:
  struct Request {
    std::string method = "POST";
    std::string url;
    std::string body;
    std::string content_type = "application/json";
    std::string request_id;  //!< The idempotency key.
    std::string attempt_id;  //!< Unique for each try.
    int priority = 5;
    //! Sequence number of the first event to send; 0 for the complete answer.
    uint64_t resume_from = 0;
    bool streamed = true;  //!< The answer is a stream of events.
    //! The request may be sent twice. If not, it gets a new connection.
    bool may_repeat = true;
    Millis connect_timeout{2000};  //!< Until the request starts to be sent.
  };

  using OnEvent = std::function<void(const UpstreamEvent&)>;

  //! Starts the call. `on_event` is called on this task until the event that
  //! ends the try (any but kChunk), and never after destruction.
  UpstreamCall(SoupSession* session, const Request& request, OnEvent on_event);

  //! Ends the try by closing the connection, which cancels the call at the
  //! endpoint.
  ~UpstreamCall();

  UpstreamCall(const UpstreamCall&) = delete;
  UpstreamCall& operator=(const UpstreamCall&) = delete;

  //! Pauses or resumes reading, for back-pressure from a slow caller.
  void SetPaused(bool paused);

  //! Content type of the answer; empty until its headers are received.
  const std::string& content_type() const;

 private:
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_INTERNAL_UPSTREAM_CALL_H_
