#ifndef TRANSPORT_RELAY_HTTP_FETCH_H_
#define TRANSPORT_RELAY_HTTP_FETCH_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "protocol/http_fields.h"
#include "state/millis.h"
#include "transport/event_loop.h"
#include "transport/relay/endpoint_call.h"

namespace tamaracktrail {

class ConnectionPool;

//! One HTTP call that buffers the complete answer in memory. An answer of more
//! than 4 MiB fails. Destroying it cancels the call. Not thread-safe.
class HttpFetch : public EndpointCall::Observer {
 public:
  //! An answer with any status.
  struct Answer {
    int status = 0;
    HttpFields fields;
    std::string body;
  };
  using Callback = std::function<void(absl::StatusOr<Answer>)>;

  //! Starts the call. `callback` is called once, from the loop, and may destroy
  //! the fetch. Errors: DeadlineExceeded if nothing arrives for `timeout`,
  //! Unavailable if the call failed. Precondition: loop and pool outlive the
  //! fetch.
  HttpFetch(EventLoop* loop,
            ConnectionPool* pool,
            const std::string& address,
            const std::string& method,
            const std::string& target,
            std::string body,
            Millis timeout,
            Callback callback);
  ~HttpFetch() override;

  HttpFetch(const HttpFetch&) = delete;
  HttpFetch& operator=(const HttpFetch&) = delete;

  //! When a part of the answer last arrived; the start before that.
  Millis progressed_at() const { return progressed_at_; }

 private:
  bool OnAnswerHead(const HttpReader& answer) override;
  void OnAnswerBody(std::string* body) override;
  void OnAnswerDone() override;
  void OnCallFailed(const absl::Status& status, bool sent) override;
  void CheckProgress();
  void Finish(absl::StatusOr<Answer> answer);

  EventLoop* loop_;
  std::unique_ptr<EndpointCall> call_;
  Callback callback_;
  Answer answer_;
  Millis timeout_;
  Millis progressed_at_;
  EventLoop::TimerId timer_{};
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_HTTP_FETCH_H_
