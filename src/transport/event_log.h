#ifndef TRANSPORT_EVENT_LOG_H_
#define TRANSPORT_EVENT_LOG_H_

#include <cstdint>
#include <string>

namespace tamaracktrail {

class EventLoop;

//! Writes log lines to a descriptor without ever blocking on it.
//!
//! Lines collect in memory and go out in large writes; what the reader does not
//! take in time is dropped and counted. (glog writes each line at once and
//! blocks, which costs the serving thread too much.) Not thread-safe.
class EventLog {
 public:
  //! Precondition: `fd` is non-blocking or a file, and outlives the log.
  EventLog(EventLoop* loop, int fd);
  ~EventLog();

  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  //! Adds one line, without its end.
  void Write(const std::string& line);

  //! Writes what the descriptor takes.
  void Flush();

  //! Lines that were dropped since the start.
  uint64_t dropped() const { return dropped_; }

 private:
  EventLoop* loop_;
  int fd_;
  bool scheduled_ = false;
  std::string buf_;
  uint64_t dropped_ = 0;
  uint64_t reported_ = 0;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_EVENT_LOG_H_
