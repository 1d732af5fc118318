#include "protocol/sse_splitter.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "absl/strings/numbers.h"
#include "protocol/text.h"

namespace tamaracktrail {

namespace {

//! Returns the end of the first event in `text`, after its blank line; npos if
//! no event is complete.
size_t EventEnd(std::string_view text) {
  // The two line ends of a blank line may differ.
  const size_t lf = text.find("\n\n");
  const size_t crlf = text.find("\n\r\n");
  if (crlf != std::string_view::npos &&
      (lf == std::string_view::npos || crlf < lf)) {
    return crlf + 3;
  }
  return lf == std::string_view::npos ? lf : lf + 2;
}

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
  size_t at = 0;
  const std::string_view all = buffer_;
  while (true) {
    const size_t end = EventEnd(all.substr(at));
    if (end == std::string_view::npos) {
      break;
    }
    const std::string_view event = all.substr(at, end);
    std::string id;
    if (!IsRepeated(event, &id)) {
      complete.append(event);
      ++event_count_;
      if (!id.empty()) {
        last_event_id_ = std::move(id);
      }
    }
    at += end;
  }
  buffer_.erase(0, at);
  return complete;
}

bool SseSplitter::IsRepeated(std::string_view event, std::string* id) const {
  const std::string_view text = EventId(event);
  *id = std::string(text);
  int64_t number = 0;
  int64_t last = 0;
  return absl::SimpleAtoi(AsAbsl(text), &number) &&
         absl::SimpleAtoi(last_event_id_, &last) && number <= last;
}

}  // namespace tamaracktrail
