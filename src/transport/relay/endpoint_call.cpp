#include "transport/relay/endpoint_call.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "protocol/http_reader.h"
#include "protocol/text.h"
#include "transport/relay/endpoint_pool.h"

namespace tamaracktrail {

namespace {

//! Head of an answer, far above what endpoints send.
constexpr uint32_t kMaxAnswerHeadBytes = 64 * 1024;

//! One read; the rest comes with the next event.
constexpr size_t kReadBytes = 64 * 1024;

//! Idle connections are kept this long where the endpoint names no time.
constexpr Millis kDefaultKeep{8000};

//! Part of the endpoint's own idle timeout that is used, so that a request
//! does not cross the endpoint's close.
constexpr double kKeepPart = 0.7;

Millis KeepTime(const HttpReader& answer) {
  const auto field = answer.fields().Find("Keep-Alive");
  if (!field) {
    return kDefaultKeep;
  }
  const size_t at = field->find("timeout=");
  double seconds = 0;
  if (at == std::string_view::npos) {
    return kDefaultKeep;
  }
  std::string_view text = field->substr(at + 8);
  text = text.substr(0, text.find_first_of(", ;"));
  if (!absl::SimpleAtod(AsAbsl(text), &seconds)) {
    return kDefaultKeep;
  }
  return Millis(static_cast<int64_t>(seconds * 1000 * kKeepPart));
}

}  // namespace

EndpointCall::EndpointCall(EventLoop* loop,
                           EndpointPool* pool,
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
  auto connecting = TcpStream::Connect(loop_, options_.address,
                                       options_.unacknowledged, this);
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
  sent_before_ = stream_->bytes_sent();
  request_written_ = true;
  stream_->Write(head_);
  if (body_ != nullptr) {
    stream_->Write(*body_);
  }
  stream_->Flush();
  head_.clear();
}

void EndpointCall::PauseReading(bool pause) {
  if (stream_ != nullptr && request_written_) {
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
  bool ended = false;
  if (!ReadOnce(&ended)) {
    Fail(absl::UnavailableError("the connection was reset"));
    return;
  }
  Progress(ended);
}

bool EndpointCall::ReadOnce(bool* ended) {
  switch (stream_->Read(&in_, kReadBytes)) {
    case TcpStream::ReadResult::kEnd:
      *ended = true;
      return true;
    case TcpStream::ReadResult::kFailed:
      return false;
    default:
      return true;
  }
}

void EndpointCall::Progress(bool ended) {
  while (FeedReader(ended) && TellObserver() && reader_->done()) {
    if (!foreign_) {
      FinishAnswer();
      return;
    }
    if (ended) {
      Fail(absl::DataLossError("an answer to another request"));
      return;
    }
    StartReader();
    if (in_.empty()) {
      return;
    }
  }
}

void EndpointCall::StartReader() {
  reader_ = std::make_unique<HttpReader>(HttpReader::Kind::kResponse,
                                         kMaxAnswerHeadBytes);
  if (!options_.expects_body) {
    reader_->ExpectNoBody();
  }
  head_told_ = false;
  foreign_ = false;
}

bool EndpointCall::FeedReader(bool ended) {
  absl::Status fed = reader_->Feed(&in_);
  if (fed.ok() && ended && !reader_->done()) {
    fed = reader_->ends_with_connection() ? reader_->FeedEnd()
                                          : absl::DataLossError("cut answer");
  }
  if (!fed.ok()) {
    Fail(fed);
  }
  return fed.ok();
}

bool EndpointCall::TellObserver() {
  const std::shared_ptr<bool> alive = alive_;
  if (reader_->head_done() && !head_told_) {
    head_told_ = true;
    const bool interim = reader_->status() / 100 == 1;
    const bool foreign = interim || !observer_->OnAnswerHead(*reader_);
    if (!*alive) {
      return false;
    }
    foreign_ = foreign;
    met_foreign_ = met_foreign_ || (foreign && !interim);
  }
  if (foreign_) {
    reader_->body().clear();
  } else if (!reader_->body().empty()) {
    observer_->OnAnswerBody(&reader_->body());
  }
  return *alive;
}

void EndpointCall::FinishAnswer() {
  // Bytes behind the answer, or a request that is not out yet, make the
  // connection useless for the next request.
  const bool clean = in_.empty() && stream_->pending() == 0 && !met_foreign_ &&
                     reader_->keep_alive() && !reader_->ends_with_connection();
  if (clean) {
    stream_->PauseReading(false);
    pool_->Put(options_.endpoint, std::move(stream_), KeepTime(*reader_));
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
