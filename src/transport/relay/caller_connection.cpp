#include "transport/relay/caller_connection.h"

#include <utility>

#include <glog/logging.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "protocol/http_reader.h"
#include "transport/event_loop.h"
#include "transport/relay/caller_request.h"
#include "transport/relay/relay_server.h"
#include "transport/relay/request_task.h"

namespace tamaracktrail {

namespace {

//! Bytes of one read.
constexpr size_t kReadBytes = 64 * 1024;

//! Bytes of pipelined requests that are read while one is in progress.
constexpr size_t kMaxReadAheadBytes = 64 * 1024;

//! While more bytes of an answer than this are unsent, its source is paused.
constexpr size_t kMaxUnsentBytes = 256 * 1024;

//! Time for which input is still read and discarded after the last answer:
//! closing a connection with unread bytes would reset it, and the caller could
//! lose the answer.
constexpr Millis kLingerTime{1000};

}  // namespace

CallerConnection::CallerConnection(EventLoop* loop,
                                   RelayServer* server,
                                   uint64_t id,
                                   int fd)
    : loop_(loop),
      server_(server),
      id_(id),
      stream_(TcpStream::Adopt(loop, fd, this)),
      waiting_since_(loop->Now()) {}

CallerConnection::~CallerConnection() = default;

const CallerLimits& CallerConnection::limits() const {
  return server_->limits();
}

void CallerConnection::OnReadable() {
  if (closed_) {
    return;  // It gave way to a new connection in this wake-up.
  }
  const size_t before = input_.size();
  const TcpStream::ReadResult result = stream_->Read(&input_, kReadBytes);
  if (result == TcpStream::ReadResult::kEndOfStream ||
      result == TcpStream::ReadResult::kFailed) {
    Close();
    return;
  }
  if (input_.size() == before) {
    return;
  }
  switch (phase_) {
    case Phase::kReading:
      ReadRequest();
      break;
    case Phase::kServing:
      if (input_.size() > kMaxReadAheadBytes) {
        stream_->PauseReading(true);
      }
      break;
    case Phase::kLingering:
      input_.clear();
      break;
  }
}

void CallerConnection::ReadRequest() {
  if (input_.empty()) {
    return;
  }
  if (reader_ == nullptr) {
    reader_ = std::make_unique<HttpReader>(HttpReader::Kind::kRequest,
                                           limits().max_header_bytes,
                                           limits().max_body_bytes);
    request_begun_ = true;
    waiting_since_ = loop_->Now();
  }
  server_->OnPhase(id_, ConnectionSlots::Phase::kReceiving);
  const absl::Status fed = reader_->Feed(&input_);
  if (absl::IsResourceExhausted(fed)) {
    RejectRequest(431, "Request Header Fields Too Large");
    return;
  }
  if (absl::IsOutOfRange(fed)) {
    RejectRequest(413, "Content Too Large");
    return;
  }
  if (!fed.ok()) {
    RejectRequest(400, "Bad Request");
    return;
  }
  if (reader_->done()) {
    StartTask();
  }
}

void CallerConnection::StartTask() {
  CallerRequest request;
  request.method = reader_->method();
  request.target = reader_->target();
  request.fields = reader_->fields();
  request.body =
      std::make_shared<const std::string>(std::move(reader_->body()));
  request.first_byte_at = waiting_since_;
  accepts_chunks_ = reader_->is_http_1_1();
  keep_alive_ = reader_->keep_alive() && accepts_chunks_;
  is_head_request_ = request.method == "HEAD";
  reader_.reset();
  phase_ = Phase::kServing;
  server_->OnPhase(id_, ConnectionSlots::Phase::kServing);
  answer_begun_ = false;
  close_after_ = false;
  task_ = server_->MakeTask(this, std::move(request));
  task_->Start();
}

void CallerConnection::RejectRequest(int status, const char* reason) {
  server_->OnBadRequest(status);
  keep_alive_ = false;
  answer_begun_ = false;
  AnswerHead head;
  head.status = status;
  head.reason = reason;
  reader_.reset();
  phase_ = Phase::kServing;
  server_->OnPhase(id_, ConnectionSlots::Phase::kServing);
  Answer(std::move(head), "");
}

void CallerConnection::BeginAnswer(const AnswerHead& head) {
  CHECK(phase_ == Phase::kServing && !answer_begun_) << "event=second_answer";
  answer_begun_ = true;
  answer_framing_ = head.framing == BodyFraming::kChunks && !accepts_chunks_
                        ? BodyFraming::kConnectionEnd
                        : head.framing;
  close_after_ = !keep_alive_ || head.close_connection || server_->draining() ||
                 answer_framing_ == BodyFraming::kConnectionEnd;
  // Until the answer is complete, any other end of the connection has to differ
  // from the one that completes it, even if the process is killed.
  if (answer_framing_ == BodyFraming::kConnectionEnd) {
    stream_->SetResetOnClose(true);
  }
  std::string text =
      absl::StrCat("HTTP/1.1 ", head.status, " ", head.reason, "\r\n");
  for (const HttpField& it : head.fields.all()) {
    absl::StrAppend(&text, it.name, ": ", it.value, "\r\n");
  }
  if (answer_framing_ == BodyFraming::kLength) {
    absl::StrAppend(&text, "Content-Length: ", head.length, "\r\n");
  } else if (answer_framing_ == BodyFraming::kChunks) {
    absl::StrAppend(&text, "Transfer-Encoding: chunked\r\n");
  }
  if (close_after_) {
    absl::StrAppend(&text, "Connection: close\r\n\r\n");
  } else {
    absl::StrAppend(&text, "Keep-Alive: timeout=",
                    limits().idle_timeout.count() / 1000, "\r\n\r\n");
  }
  stream_->Write(text);
}

void CallerConnection::WriteBody(std::string_view bytes) {
  CHECK(answer_begun_) << "event=body_without_head";
  if (bytes.empty() || is_head_request_) {
    return;
  }
  if (answer_framing_ == BodyFraming::kChunks) {
    stream_->Write(absl::StrFormat("%x\r\n", bytes.size()));
    stream_->Write(bytes);
    stream_->Write("\r\n");
  } else {
    stream_->Write(bytes);
  }
  stream_->Flush();
}

void CallerConnection::EndAnswer() {
  if (answer_framing_ == BodyFraming::kChunks && !is_head_request_) {
    stream_->Write("0\r\n\r\n");
  }
  stream_->Flush();
  server_->Defer(this, [this] { FinishTask(); });
}

void CallerConnection::Answer(AnswerHead head, std::string_view body) {
  if (head.framing != BodyFraming::kConnectionEnd) {
    head.framing = BodyFraming::kLength;
    head.length = body.size();
  }
  BeginAnswer(head);
  WriteBody(body);
  EndAnswer();
}

void CallerConnection::FinishTask() {
  task_.reset();
  if (close_after_) {
    StartLingering();
    return;
  }
  phase_ = Phase::kReading;
  if (!has_unsent_bytes()) {
    server_->OnPhase(id_, ConnectionSlots::Phase::kIdle);
  }
  request_begun_ = false;
  waiting_since_ = loop_->Now();
  stream_->PauseReading(false);
  ReadRequest();
}

void CallerConnection::StartLingering() {
  phase_ = Phase::kLingering;
  waiting_since_ = loop_->Now();
  input_.clear();
  stream_->PauseReading(false);
  if (stream_->pending_bytes() == 0) {
    CloseInOrder();
  }
}

void CallerConnection::CloseInOrder() {
  stream_->SetResetOnClose(false);
  stream_->ShutDownWriting();
}

void CallerConnection::Abort() {
  stream_->SetResetOnClose(true);
  server_->Defer(this, [this] { Close(); });
}

bool CallerConnection::output_is_full() const {
  return stream_->pending_bytes() > kMaxUnsentBytes;
}

void CallerConnection::OnDrained() {
  if (phase_ == Phase::kLingering) {
    CloseInOrder();
  } else if (phase_ == Phase::kReading && !request_begun_) {
    server_->OnPhase(id_, ConnectionSlots::Phase::kIdle);
  } else if (task_ != nullptr) {
    task_->OnCallerDrained();
  }
}

void CallerConnection::OnFailed(const absl::Status&) {
  Close();
}

void CallerConnection::Close() {
  if (!closed_) {
    closed_ = true;
    task_.reset();
    server_->Remove(this);
  }
}

bool CallerConnection::GiveWay() {
  if (stream_->has_unread_bytes()) {
    return false;
  }
  Close();
  return true;
}

void CallerConnection::OnTick(Millis now) {
  const Millis waited = now - waiting_since_;
  if (phase_ == Phase::kLingering) {
    if (waited > kLingerTime && stream_->pending_bytes() == 0) {
      Close();
    }
  } else if (phase_ == Phase::kReading && request_begun_) {
    const bool head_done = reader_ != nullptr && reader_->head_done();
    if (!head_done && waited > limits().header_timeout) {
      RejectRequest(408, "Request Timeout");
    } else if (waited > limits().idle_timeout) {
      Close();
    }
  } else if (phase_ == Phase::kReading && waited > limits().idle_timeout) {
    Close();
  }
}

}  // namespace tamaracktrail
