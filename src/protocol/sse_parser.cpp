#include "protocol/sse_parser.h"

#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace tamaracktrail {

namespace {

SseEvent ParseEvent(const std::string& block) {
  SseEvent event;
  const std::vector<std::string> lines =
      absl::StrSplit(block, '\n', absl::SkipEmpty());
  for (const std::string& raw : lines) {
    const std::string line(absl::StripSuffix(raw, "\r"));
    if (line.starts_with("id:")) {
      event.id = std::string(absl::StripPrefix(line.substr(3), " "));
    } else if (line.starts_with("data:")) {
      event.data += (event.data.empty() ? "" : "\n") +
                    std::string(absl::StripPrefix(line.substr(5), " "));
    }
  }
  return event;
}

}  // namespace

std::vector<SseEvent> SseParser::Feed(const std::string& bytes) {
  buffer_ += bytes;
  std::vector<SseEvent> events;
  size_t start = 0;
  size_t end = 0;
  while ((end = buffer_.find("\n\n", start)) != std::string::npos) {
    events.push_back(ParseEvent(buffer_.substr(start, end - start)));
    start = end + 2;
  }
  buffer_.erase(0, start);
  return events;
}

}  // namespace tamaracktrail
