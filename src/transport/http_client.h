#ifndef TRANSPORT_HTTP_CLIENT_H_
#define TRANSPORT_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "absl/status/statusor.h"
#include "state/millis.h"
#include "transport/http_reply.h"

typedef struct _SoupSession SoupSession;

namespace tamaracktrail {

//! Sends HTTP requests and collects complete answers. Belongs to the task that
//! created it.
class HttpClient {
 public:
  struct Request {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    Millis timeout{5000};  //!< For the complete exchange.
    //! A larger body of the answer fails the exchange.
    size_t max_body_bytes = 64 * 1024 * 1024;
  };

  using Done = std::function<void(absl::StatusOr<HttpReply>)>;

  HttpClient();
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  //! Calls `done` once, on this task. kUnavailable: no connection;
  //! kDeadlineExceeded: `timeout` passed; kUnknown: failed after bytes were
  //! sent, or the answer's body is too large; kInvalidArgument: not a URL
  //! (`done` runs before Send returns). Calls in progress when the client is
  //! destroyed get kCancelled.
  void Send(const Request& request, Done done);

  SoupSession* session() { return session_; }

 private:
  SoupSession* session_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_HTTP_CLIENT_H_
