#ifndef TRANSPORT_LOG_LINE_H_
#define TRANSPORT_LOG_LINE_H_

#include <string>

#include "absl/strings/str_cat.h"
#include "state/millis.h"
#include "transport/clock.h"
#include "transport/event_log.h"

namespace tamaracktrail {

//! Builds a log line of key=value pairs and writes it on destruction. Not
//! thread-safe.
class LogLine {
 public:
  LogLine(EventLog* log, const char* event) : log_(log) {
    absl::StrAppend(&line_, "time_ms=", WallNow().count(), " event=", event);
  }
  ~LogLine() { log_->Write(line_); }

  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  template <class Value>
  LogLine& Add(const char* key, const Value& value) {
    absl::StrAppend(&line_, " ", key, "=", value);
    return *this;
  }

  LogLine& Add(const char* key, Millis value) {
    return Add(key, value.count());
  }

  //! Adds a text that may contain spaces; quotes in it are not escaped.
  LogLine& AddQuoted(const char* key, const std::string& value) {
    absl::StrAppend(&line_, " ", key, "=\"", value, "\"");
    return *this;
  }

 private:
  EventLog* log_;
  std::string line_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_LOG_LINE_H_
