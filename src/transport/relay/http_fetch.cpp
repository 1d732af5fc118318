#include "transport/relay/http_fetch.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "protocol/http_reader.h"
#include "state/digest.h"

namespace tamaracktrail {

namespace {

//! Connect timeout within a region. After a lost SYN the call fails before the
//! kernel sends the SYN again, so that its user can repeat it earlier.
constexpr Millis kConnectTimeout{500};

//! Connections that were idle for longer are not reused, as the peer may have
//! become unresponsive.
constexpr Millis kMaxIdle{10000};

//! Size limit of an answer. The largest are pages of the store: a megabyte of
//! values in base64, with up to 500 keys.
constexpr uint64_t kMaxAnswerBytes = 4 * 1024 * 1024;

}  // namespace

HttpFetch::HttpFetch(EventLoop* loop,
                     ConnectionPool* pool,
                     const std::string& address,
                     const std::string& method,
                     const std::string& target,
                     std::string body,
                     Millis timeout,
                     Callback callback)
    : loop_(loop),
      callback_(std::move(callback)),
      timeout_(timeout),
      progressed_at_(loop->Now()) {
  EndpointCall::Options options;
  options.endpoint = StableHash(address);
  options.address = address;
  options.connect_timeout = std::min(kConnectTimeout, timeout);
  options.ack_timeout = timeout;
  options.max_idle = kMaxIdle;
  options.max_body_bytes = kMaxAnswerBytes;
  call_ = std::make_unique<EndpointCall>(loop, pool, options, this);
  std::string head =
      absl::StrCat(method, " ", target, " HTTP/1.1\r\nHost: ", address, "\r\n");
  if (method != "GET") {
    absl::StrAppend(&head, "Content-Length: ", body.size(), "\r\n");
  }
  head += "\r\n";
  timer_ = loop_->After(timeout, [this] { CheckProgress(); });
  call_->Start(head, std::make_shared<const std::string>(std::move(body)));
}

HttpFetch::~HttpFetch() {
  loop_->Cancel(&timer_);
}

void HttpFetch::CheckProgress() {
  const Millis rest = progressed_at_ + timeout_ - loop_->Now();
  if (rest > Millis(0)) {
    timer_ = loop_->After(rest, [this] { CheckProgress(); });
    return;
  }
  call_.reset();
  Finish(absl::DeadlineExceededError("no answer in time"));
}

bool HttpFetch::OnAnswerHead(const HttpReader& answer) {
  progressed_at_ = loop_->Now();
  answer_.status = answer.status();
  answer_.fields = answer.fields();
  return true;
}

void HttpFetch::OnAnswerBody(std::string* body) {
  progressed_at_ = loop_->Now();
  answer_.body += *body;
  body->clear();
}

void HttpFetch::OnAnswerDone() {
  Finish(std::move(answer_));
}

void HttpFetch::OnCallFailed(const absl::Status& status, bool) {
  Finish(absl::UnavailableError(status.message()));
}

void HttpFetch::Finish(absl::StatusOr<Answer> answer) {
  loop_->Cancel(&timer_);
  // Nothing may be reported after the callback.
  call_.reset();
  const Callback callback = std::move(callback_);
  callback(std::move(answer));
}

}  // namespace tamaracktrail
