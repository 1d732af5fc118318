#ifndef TRANSPORT_EVENT_LOG_H_
#define TRANSPORT_EVENT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "protocol/byte_queue.h"

namespace tamaracktrail {

class EventLoop;

//! Writes log lines to a descriptor without blocking.
//!
//! Lines are buffered in memory and written in blocks; lines that do not fit
//! into the buffer because the reader is behind are dropped and counted. glog
//! is not used here, as it writes each line at once and blocks, which costs the
//! serving thread too much. Not thread-safe.
class EventLog {
 public:
  //! Precondition: `fd` is non-blocking or a file, and outlives the log.
  EventLog(EventLoop* loop, int fd);
  ~EventLog();

  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  //! Adds one line; `line` has no line feed.
  void Write(const std::string& line);

  //! Writes as much of the buffer as the descriptor accepts.
  void Flush();

  //! Number of lines dropped since the start.
  uint64_t dropped() const { return dropped_; }

 private:
  void ScheduleFlush();

  EventLoop* loop_;
  int fd_;
  bool flush_scheduled_ = false;
  ByteQueue buf_;
  size_t blocked_bytes_ = 0;  //!< Buffered bytes that a write failed for.
  uint64_t dropped_ = 0;
  uint64_t reported_dropped_ = 0;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_EVENT_LOG_H_
