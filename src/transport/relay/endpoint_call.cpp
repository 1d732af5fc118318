#include "transport/relay/endpoint_call.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "protocol/http_reader.h"
#include "protocol/text.h"
#include "transport/relay/connection_pool.h"

namespace tamaracktrail {

namespace {

//! Limit for the head of an answer; the heads that endpoints send are far
//! smaller.
constexpr uint32_t kMaxAnswerHeadBytes = 64 * 1024;

//! Limit of the bytes before the answer to the request: interim answers and
//! answers to earlier requests.
constexpr size_t kMaxUnacceptedBytes = 1024 * 1024;

//! Bytes of one read; the rest is read on the next event.
constexpr size_t kReadBytes = 64 * 1024;

//! Idle connections are kept for this time if the endpoint sends no Keep-Alive
//! timeout.
constexpr Millis kDefaultKeepAlive{8000};

//! Fraction of the endpoint's Keep-Alive timeout that is used, so that no
//! request is sent while the endpoint closes the connection.
constexpr double kKeepAliveFraction = 0.7;

Millis KeepAliveTime(const HttpReader& answer) {
  const auto field = answer.fields().Find("Keep-Alive");
  if (!field) {
    return kDefaultKeepAlive;
  }
  const size_t at = field->find("timeout=");
  double seconds = 0;
  if (at == std::string_view::npos) {
    return kDefaultKeepAlive;
  }
  std::string_view text = field->substr(at + 8);
  text = text.substr(0, text.find_first_of(", ;"));
  if (!absl::SimpleAtod(AsAbsl(text), &seconds)) {
    return kDefaultKeepAlive;
  }
  return Millis(static_cast<int64_t>(seconds * 1000 * kKeepAliveFraction));
}

//! A large buffer is freed when it is empty: a call that waits for its caller
//! to read would keep it for a long time.
constexpr size_t kMaxIdleBytes = 16 * 1024;

}  // namespace

EndpointCall::EndpointCall(EventLoop* loop,
                           ConnectionPool* pool,
                           Options options,
                           Observer* observer)
    : loop_(loop),
      pool_(pool),
      options_(std::move(options)),
      observer_(observer) {}

EndpointCall::~EndpointCall() {
  *alive_ = false;
  loop_->Cancel(&connect_timer_);
}

void EndpointCall::Start(const std::string& head,
                         std::shared_ptr<const std::string> body) {
  head_ = head;
  body_ = std::move(body);
  StartReader();
  stream_ = pool_->Take(options_.endpoint, options_.max_idle);
  if (stream_ != nullptr) {
    reused_ = true;
    stream_->SetObserver(this);
    SendRequest();
    return;
  }
  auto connecting =
      TcpStream::Connect(loop_, options_.address, options_.ack_timeout, this);
  if (!connecting.ok()) {
    const absl::Status& status = connecting.status();
    loop_->Defer([this, alive = alive_, status] {
      if (*alive) {
        Fail(status);
      }
    });
    return;
  }
  stream_ = *std::move(connecting);
  connect_timer_ = loop_->After(options_.connect_timeout, [this] {
    Fail(absl::DeadlineExceededError("connecting took too long"));
  });
}

void EndpointCall::SendRequest() {
  bytes_sent_before_ = stream_->bytes_sent();
  request_written_ = true;
  stream_->Write(head_);
  if (body_ != nullptr) {
    stream_->Write(*body_);
  }
  stream_->Flush();
  head_.clear();
}

void EndpointCall::PauseReading(bool pause) {
  if (stream_ != nullptr && request_written_ && !answer_done_) {
    stream_->PauseReading(pause);
  }
}

bool EndpointCall::sent() const {
  return request_written_;
}

void EndpointCall::OnConnected() {
  loop_->Cancel(&connect_timer_);
  SendRequest();
}

void EndpointCall::OnReadable() {
  loop_->SetTurnOwner("answer", options_.address, options_.request_id);
  bool ended = false;
  const size_t left = input_.size();
  if (!ReadOnce(&ended)) {
    Fail(absl::UnavailableError("the connection was reset"));
    return;
  }
  if (!head_reported_ || discard_answer_) {
    unaccepted_bytes_ += input_.size() - left;
    if (unaccepted_bytes_ > kMaxUnacceptedBytes) {
      Fail(absl::DataLossError("too many bytes before the answer"));
      return;
    }
  }
  ProcessInput(ended);
}

bool EndpointCall::ReadOnce(bool* ended) {
  switch (stream_->Read(input_.tail(), kReadBytes)) {
    case TcpStream::ReadResult::kEndOfStream:
      *ended = true;
      return true;
    case TcpStream::ReadResult::kFailed:
      return false;
    default:
      return true;
  }
}

void EndpointCall::ProcessInput(bool ended) {
  while (FeedReader(ended) && NotifyObserver() && reader_->done()) {
    if (!discard_answer_) {
      FinishAnswer();
      return;
    }
    if (ended) {
      Fail(absl::DataLossError("an answer to another request"));
      return;
    }
    StartReader();
    if (input_.empty()) {
      return;
    }
  }
}

void EndpointCall::StartReader() {
  reader_ = std::make_unique<HttpReader>(HttpReader::Kind::kResponse,
                                         kMaxAnswerHeadBytes,
                                         options_.max_body_bytes);
  if (!options_.expects_body) {
    reader_->ExpectNoBody();
  }
  head_reported_ = false;
  discard_answer_ = false;
}

bool EndpointCall::EndsWithConnection() const {
  return reader_->head_done() &&
         reader_->framing() == BodyFraming::kConnectionEnd;
}

bool EndpointCall::FeedReader(bool ended) {
  absl::Status fed = reader_->Feed(&input_);
  if (input_.empty() && input_.capacity() > kMaxIdleBytes) {
    input_.Free();
  }
  if (fed.ok() && ended && !reader_->done()) {
    fed = EndsWithConnection() ? reader_->FeedEnd()
                               : absl::DataLossError("cut answer");
  }
  if (!fed.ok()) {
    Fail(fed);
  }
  return fed.ok();
}

bool EndpointCall::NotifyObserver() {
  const std::shared_ptr<bool> alive = alive_;
  if (reader_->head_done() && !head_reported_) {
    head_reported_ = true;
    const bool interim = reader_->status() / 100 == 1;
    const bool discard = interim || !observer_->OnAnswerHead(*reader_);
    if (!*alive) {
      return false;
    }
    discard_answer_ = discard;
    saw_mismatched_answer_ = saw_mismatched_answer_ || (discard && !interim);
  }
  if (discard_answer_) {
    reader_->body().clear();
  } else if (!reader_->body().empty()) {
    observer_->OnAnswerBody(&reader_->body());
    if (*alive && reader_->body().empty() &&
        reader_->body().capacity() > kMaxIdleBytes) {
      std::string().swap(reader_->body());
    }
  }
  return *alive;
}

void EndpointCall::FinishAnswer() {
  if (EndsWithConnection()) {
    if (!stream_->output_acknowledged()) {
      // An endpoint that has read the request acknowledged it before this end.
      Fail(absl::DataLossError(
          "the connection ended before the request was taken"));
      return;
    }
    // Keeps the connection, so that a reset after its end is noticed.
    answer_done_ = true;
    stream_->PauseReading(true);
    observer_->OnAnswerDone();
    return;
  }
  // The connection can't be reused if bytes follow the answer, or if the
  // request has not been sent completely.
  const bool reusable = input_.empty() && stream_->pending_bytes() == 0 &&
                        !saw_mismatched_answer_ && reader_->keep_alive();
  if (reusable) {
    stream_->PauseReading(false);
    pool_->Put(options_.endpoint, std::move(stream_), KeepAliveTime(*reader_));
  } else {
    stream_.reset();
  }
  observer_->OnAnswerDone();
}

void EndpointCall::OnFailed(const absl::Status& status) {
  Fail(status);
}

void EndpointCall::Fail(const absl::Status& status) {
  loop_->Cancel(&connect_timer_);
  const bool sent = request_written_;
  stream_.reset();
  observer_->OnCallFailed(status, sent);
}

}  // namespace tamaracktrail
