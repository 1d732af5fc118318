#include "support/caller.h"

#include <glog/logging.h>

#include <utility>

namespace tamaracktrail {

namespace {

constexpr size_t kMostBytes = 65536;
constexpr Millis kUnacknowledged{5000};

std::unique_ptr<HttpReader> NewReader() {
  return std::make_unique<HttpReader>(HttpReader::Kind::kResponse, kMostBytes);
}

}  // namespace

Caller::Caller(EventLoop* loop, const std::string& address, std::string request)
    : request_(std::move(request)),
      reader_(NewReader()),
      stream_(*TcpStream::Connect(loop, address, kUnacknowledged, this)) {}

Caller::~Caller() = default;

void Caller::OnConnected() {
  stream_->Write(request_);
  stream_->Flush();
}

void Caller::Again(const std::string& request) {
  CHECK(reusable());
  reader_ = NewReader();
  stream_->Write(request);
  stream_->Flush();
}

bool Caller::reusable() const {
  return whole() && !ended_ && stream_ != nullptr &&
         reader_->fields().Find("Connection") != "close";
}

void Caller::OnReadable() {
  std::string buf;
  const auto result = stream_->Read(&buf, kMostBytes);
  in_ += buf;
  if (!reader_->Feed(&in_).ok()) {
    broken_ = true;
  }
  if (result == TcpStream::ReadResult::kEnd ||
      result == TcpStream::ReadResult::kFailed) {
    ended_ = true;
    stream_.reset();
  }
}

}  // namespace tamaracktrail
