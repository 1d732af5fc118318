#include "protocol/sse_splitter.h"

#include <algorithm>
#include <cstddef>
#include <optional>

#include "absl/strings/numbers.h"
#include "protocol/text.h"

namespace tamaracktrail {

namespace {

//! Returns the value of the event's id field; empty if it has none.
std::string_view EventId(std::string_view event) {
  size_t at = 0;
  while (at < event.size()) {
    const size_t end = std::min(event.find('\n', at), event.size());
    std::string_view line = event.substr(at, end - at);
    if (line.substr(0, 3) == "id:") {
      line.remove_prefix(3);
      if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
      }
      return line;
    }
    at = end + 1;
  }
  return {};
}

}  // namespace

std::string SseSplitter::Feed(std::string_view bytes) {
  buffer_.append(bytes);
  std::string complete;
  std::string_view rest = buffer_;
  for (size_t n = scanner_.Next(rest); n != std::string_view::npos;
       n = scanner_.Next(rest)) {
    const std::string_view event = rest.substr(0, n);
    rest.remove_prefix(n);
    if (Accept(EventId(event))) {
      complete.append(event);
      ++event_count_;
    }
  }
  buffer_.erase(0, buffer_.size() - rest.size());
  return complete;
}

bool SseSplitter::Accept(std::string_view id) {
  int64_t value = 0;
  const std::optional<int64_t> number = absl::SimpleAtoi(AsAbsl(id), &value)
                                            ? std::optional(value)
                                            : std::nullopt;
  if (number && last_number_ && *number <= *last_number_) {
    return false;
  }
  if (!id.empty()) {
    last_event_id_ = id;
    last_number_ = number;
  }
  return true;
}

}  // namespace tamaracktrail
