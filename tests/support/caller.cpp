#include "support/caller.h"

#include <glog/logging.h>

#include <utility>

namespace tamaracktrail {

namespace {

constexpr size_t kMaxBytes = 65536;
constexpr Millis kUnacknowledgedTimeout{5000};

std::unique_ptr<HttpReader> MakeReader() {
  return std::make_unique<HttpReader>(HttpReader::Kind::kResponse, kMaxBytes,
                                      HttpReader::kNoBodyLimit);
}

}  // namespace

Caller::Caller(EventLoop* loop, const std::string& address, std::string request)
    : request_(std::move(request)),
      reader_(MakeReader()),
      stream_(
          *TcpStream::Connect(loop, address, kUnacknowledgedTimeout, this)) {}

Caller::~Caller() = default;

void Caller::OnConnected() {
  stream_->Write(request_);
  stream_->Flush();
}

void Caller::SendAnother(const std::string& request) {
  CHECK(reusable());
  reader_ = MakeReader();
  stream_->Write(request);
  stream_->Flush();
}

bool Caller::reusable() const {
  return complete() && !connection_ended_ && stream_ != nullptr &&
         reader_->fields().Find("Connection") != "close";
}

void Caller::OnReadable() {
  std::string buffer;
  const auto result = stream_->Read(&buffer, kMaxBytes);
  input_ += buffer;
  if (!reader_->Feed(&input_).ok()) {
    malformed_ = true;
  }
  if (result == TcpStream::ReadResult::kEndOfStream ||
      result == TcpStream::ReadResult::kFailed) {
    connection_ended_ = true;
    stream_.reset();
    if (result == TcpStream::ReadResult::kEndOfStream && reader_->head_done() &&
        reader_->framing() == BodyFraming::kConnectionEnd &&
        !reader_->FeedEnd().ok()) {
      malformed_ = true;
    }
  }
}

}  // namespace tamaracktrail
