#include "transport/event_log.h"

#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "absl/strings/str_cat.h"
#include "transport/event_loop.h"

namespace tamaracktrail {

namespace {

//! Longest time that a line is buffered before a write is tried, so that
//! several lines share one write.
constexpr Millis kFlushDelay{250};

//! Buffered bytes from which the cost of a system call is justified.
constexpr size_t kFlushBytes = 4 * 1024;

//! Bytes of one write; pipes accept this much atomically.
constexpr size_t kWriteBytes = 4 * 1024;

//! Limit of the buffer; lines are dropped if the reader is further behind.
constexpr size_t kMaxBufferedBytes = 512 * 1024;

}  // namespace

EventLog::EventLog(EventLoop* loop, int fd) : loop_(loop), fd_(fd) {
  buf_.reserve(kFlushBytes);
}

EventLog::~EventLog() {
  Flush();
}

void EventLog::Write(const std::string& line) {
  if (buf_.size() + line.size() > kMaxBufferedBytes) {
    ++dropped_;
    return;
  }
  buf_ += line;
  buf_ += '\n';
  if (buf_.size() >= kFlushBytes) {
    Flush();
  } else if (!flush_scheduled_) {
    flush_scheduled_ = true;
    loop_->After(kFlushDelay, [this] {
      flush_scheduled_ = false;
      Flush();
    });
  }
}

void EventLog::Flush() {
  if (dropped_ > reported_dropped_ && buf_.size() < kMaxBufferedBytes) {
    absl::StrAppend(
        &buf_, "event=log_dropped lines=", dropped_ - reported_dropped_, "\n");
    reported_dropped_ = dropped_;
  }
  while (!buf_.empty()) {
    const ssize_t n =
        write(fd_, buf_.data(), std::min(buf_.size(), kWriteBytes));
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return;
    }
    buf_.erase(0, static_cast<size_t>(n));
  }
}

}  // namespace tamaracktrail
