#include "transport/relay/caller_connection.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "protocol/http_reader.h"
#include "transport/event_loop.h"
#include "transport/relay/caller_request.h"
#include "transport/relay/connection_memory.h"
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

//! The same while memory is short.
constexpr size_t kMaxUnsentBytesIfShort = 16 * 1024;

//! While more bytes of earlier answers are unsent, the next pipelined request
//! is not begun.
constexpr size_t kMaxUnsentBytesOfEarlier = 16 * 1024;

//! An empty input buffer with a larger capacity is freed.
constexpr size_t kMaxIdleInputBytes = 4 * 1024;

//! A body that was announced with more than this is reserved at once.
constexpr size_t kMinReservedBytes = 4 * 1024;

//! Retry-After of requests that are refused for want of memory, in seconds.
constexpr char kNoMemoryRetryAfter[] = "1";

//! Time for which input is still read and discarded after the last answer:
//! closing a connection with unread bytes would reset it, and the caller could
//! lose the answer.
constexpr Millis kLingerTime{1000};

}  // namespace

CallerConnection::CallerConnection(EventLoop* loop,
                                   RelayServer* server,
                                   uint64_t id,
                                   int fd,
                                   std::string peer)
    : loop_(loop),
      server_(server),
      id_(id),
      peer_(std::move(peer)),
      memory_(server->memory()),
      stream_(TcpStream::Adopt(loop, fd, this)),
      waiting_since_(loop->Now()) {
  if (memory_ != nullptr) {
    memory_id_ = memory_->Add(this);
  }
}

CallerConnection::~CallerConnection() {
  loop_->Cancel(&next_request_timer_);
  if (memory_ != nullptr) {
    memory_->Remove(memory_id_);
  }
}

const CallerLimits& CallerConnection::limits() const {
  return server_->limits();
}

void CallerConnection::OnReadable() {
  if (closed_) {
    return;  // It gave way to a new connection in this wake-up.
  }
  loop_->SetTurnOwner("caller", peer_);
  const size_t before = input_.size();
  const TcpStream::ReadResult result = stream_->Read(input_.tail(), kReadBytes);
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
      if (input_.size() > kMaxReadAheadBytes || memory_is_short()) {
        stream_->PauseReading(true);
      }
      UpdateHeld();
      break;
    case Phase::kLingering:
      input_.Free();
      break;
  }
}

void CallerConnection::ReadRequest() {
  if (input_.empty()) {
    return;
  }
  if (reader_ == nullptr &&
      stream_->pending_bytes() > kMaxUnsentBytesOfEarlier) {
    stream_->PauseReading(true);  // Until OnDrained.
    UpdateHeld();
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
  if (input_.empty() && input_.capacity() > kMaxIdleInputBytes) {
    input_.Free();
  }
  if (!ReserveRequest()) {
    RejectRequest(503, "Service Unavailable");
    return;
  }
  if (reader_->done()) {
    StartTask();
  }
}

bool CallerConnection::ReserveRequest() {
  if (memory_ == nullptr) {
    return true;
  }
  std::string& body = reader_->body();
  const uint64_t announced =
      reader_->head_done() ? reader_->content_length().value_or(0) : 0;
  const size_t wanted =
      std::max(static_cast<size_t>(announced), body.capacity());
  if (!memory_->Request(memory_id_, wanted + input_.capacity())) {
    return false;
  }
  if (announced > kMinReservedBytes && body.capacity() < announced) {
    body.reserve(announced);
  }
  body_bytes_ = std::max(wanted, body.capacity());
  UpdateHeld();
  return true;
}

void CallerConnection::UpdateHeld() {
  if (memory_ == nullptr) {
    return;
  }
  // A request that is being served is not closed for its own bytes, only for
  // those of its answer that wait for the caller.
  memory_->Set(memory_id_,
               input_.capacity() + body_bytes_ + task_bytes_ +
                   stream_->output_capacity(),
               phase_ == Phase::kReading ||
                   stream_->pending_bytes() > kMaxUnsentBytesIfShort);
}

void CallerConnection::SetTaskBytes(size_t bytes) {
  task_bytes_ = bytes;
  UpdateHeld();
}

bool CallerConnection::memory_is_short() const {
  return memory_ != nullptr && memory_->is_short();
}

void CallerConnection::CloseForMemory() {
  if (closed_) {
    return;
  }
  if (phase_ == Phase::kReading && request_begun_) {
    RejectRequest(503, "Service Unavailable");
  } else {
    Abort();
  }
}

void CallerConnection::StartTask() {
  CallerRequest request;
  request.method = reader_->method();
  request.target = reader_->target();
  request.fields = reader_->fields();
  request.body =
      std::make_shared<const std::string>(std::move(reader_->body()));
  body_bytes_ = request.body->capacity();
  request.first_byte_at = waiting_since_;
  accepts_chunks_ = reader_->is_http_1_1();
  keep_alive_ = reader_->keep_alive() && accepts_chunks_;
  is_head_request_ = request.method == "HEAD";
  reader_.reset();
  phase_ = Phase::kServing;
  server_->OnPhase(id_, ConnectionSlots::Phase::kServing);
  UpdateHeld();
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
  if (status == 503) {
    head.fields.Add("Retry-After", kNoMemoryRetryAfter);
  }
  reader_.reset();
  input_.Free();
  body_bytes_ = 0;
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
  if (stream_->pending_bytes() > 0) {
    UpdateHeld();
  }
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
  task_bytes_ = 0;
  body_bytes_ = 0;
  if (close_after_) {
    StartLingering();
    return;
  }
  phase_ = Phase::kReading;
  server_->OnPhase(id_, has_unsent_bytes() ? ConnectionSlots::Phase::kSending
                        : !input_.empty()  ? ConnectionSlots::Phase::kReceiving
                                           : ConnectionSlots::Phase::kIdle);
  bytes_sent_ = stream_->bytes_sent();
  request_begun_ = false;
  waiting_since_ = loop_->Now();
  UpdateHeld();
  stream_->PauseReading(false);
  ReadNextRequestLater();
}

void CallerConnection::ReadNextRequestLater() {
  if (input_.empty()) {
    return;
  }
  next_request_timer_ = loop_->After(Millis(0), [this] {
    next_request_timer_ = {};
    loop_->SetTurnOwner("caller", peer_);
    if (phase_ == Phase::kReading && !closed_) {
      ReadRequest();
    }
  });
}

void CallerConnection::StartLingering() {
  phase_ = Phase::kLingering;
  waiting_since_ = loop_->Now();
  input_.Free();
  UpdateHeld();
  stream_->PauseReading(false);
  server_->OnPhase(id_, ConnectionSlots::Phase::kSending);
  bytes_sent_ = stream_->bytes_sent();
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
  return stream_->pending_bytes() >
         (memory_is_short() ? kMaxUnsentBytesIfShort : kMaxUnsentBytes);
}

void CallerConnection::OnDrained() {
  if (closed_) {
    return;
  }
  UpdateHeld();
  if (phase_ == Phase::kLingering) {
    CloseInOrder();
  } else if (phase_ == Phase::kReading && !request_begun_) {
    server_->OnPhase(id_, ConnectionSlots::Phase::kIdle);
    stream_->PauseReading(false);
    ReadRequest();
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
    if (memory_ != nullptr) {
      memory_->Remove(memory_id_);
    }
    server_->Remove(this);
  }
}

std::optional<ConnectionSlots::Phase> CallerConnection::GiveWay() {
  if (has_unsent_bytes()) {
    if (bytes_sent_ != stream_->bytes_sent()) {
      bytes_sent_ = stream_->bytes_sent();
      return ConnectionSlots::Phase::kSending;
    }
    // The caller must not take the part that it has read for all.
    stream_->SetResetOnClose(true);
  } else if (next_request_timer_ != EventLoop::TimerId{} ||
             stream_->has_unread_bytes()) {
    return ConnectionSlots::Phase::kReceiving;
  }
  Close();
  return std::nullopt;
}

void CallerConnection::OnTick(Millis now) {
  const Millis waited = now - waiting_since_;
  if (phase_ == Phase::kLingering) {
    if (waited > kLingerTime && stream_->pending_bytes() == 0) {
      Close();
    } else if (waited > limits().idle_timeout) {
      // The caller doesn't read the rest of its answer.
      stream_->SetResetOnClose(true);
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
