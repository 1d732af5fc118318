#include "protocol/sse_event_scanner.h"

#include <algorithm>

namespace tamaracktrail {

size_t SseEventScanner::Next(std::string_view bytes) {
  while (true) {
    const size_t at = std::min(bytes.find('\n', resume_at_), bytes.size());
    examined_bytes_ += at - resume_at_;
    // The line end and what may be the blank line behind it.
    const std::string_view end = bytes.substr(at, 3);
    examined_bytes_ += end.size();
    if (end.starts_with("\n\n") || end == "\n\r\n") {
      resume_at_ = 0;
      return at + (end[1] == '\n' ? 2 : 3);
    }
    if (end.empty() || end == "\n" || end == "\n\r") {
      resume_at_ = at;
      return std::string_view::npos;
    }
    resume_at_ = at + 1;
  }
}

}  // namespace tamaracktrail
