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
  buf_.tail()->reserve(kFlushBytes);
}

EventLog::~EventLog() {
  Flush();
}

void EventLog::Write(const std::string& line) {
  if (buf_.size() + line.size() > kMaxBufferedBytes) {
    ++dropped_;
    ScheduleFlush();
    return;
  }
  buf_.Append(line);
  buf_.Append("\n");
  if (buf_.size() >= blocked_bytes_ + kFlushBytes) {
    Flush();
  }
  if (!buf_.empty()) {
    ScheduleFlush();
  }
}

void EventLog::ScheduleFlush() {
  if (!flush_scheduled_) {
    flush_scheduled_ = true;
    loop_->After(kFlushDelay, [this] {
      flush_scheduled_ = false;
      Flush();
      if (!buf_.empty()) {
        ScheduleFlush();
      }
    });
  }
}

void EventLog::Flush() {
  if (dropped_ > reported_dropped_ && buf_.size() < kMaxBufferedBytes) {
    absl::StrAppend(buf_.tail(),
                    "event=log_dropped lines=", dropped_ - reported_dropped_,
                    "\n");
    reported_dropped_ = dropped_;
  }
  blocked_bytes_ = 0;
  while (!buf_.empty()) {
    const std::string_view block = buf_.view().substr(0, kWriteBytes);
    const ssize_t n = write(fd_, block.data(), block.size());
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      blocked_bytes_ = buf_.size();
      return;
    }
    buf_.Consume(static_cast<size_t>(n));
  }
}

}  // namespace tamaracktrail
