#include "transport/event_log.h"

#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "absl/strings/str_cat.h"
#include "transport/event_loop.h"

namespace tamaracktrail {

namespace {

//! Lines wait this long at most, so that a few hundred lines share one write.
constexpr Millis kFlushDelay{250};

//! A write that is worth its system call.
constexpr size_t kFlushBytes = 4 * 1024;

//! One write; pipes take this much in one piece.
constexpr size_t kWriteBytes = 4 * 1024;

//! Bytes that wait at most; a reader that is further behind loses lines.
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
  } else if (!scheduled_) {
    scheduled_ = true;
    loop_->After(kFlushDelay, [this] {
      scheduled_ = false;
      Flush();
    });
  }
}

void EventLog::Flush() {
  if (dropped_ > reported_ && buf_.size() < kMaxBufferedBytes) {
    absl::StrAppend(&buf_, "event=log_dropped lines=", dropped_ - reported_,
                    "\n");
    reported_ = dropped_;
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
