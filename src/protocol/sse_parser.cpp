#include "protocol/sse_parser.h"

#include <cstddef>
#include <string_view>

#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "protocol/text.h"

namespace tamaracktrail {

namespace {

SseEvent ParseEvent(std::string_view block) {
  SseEvent event;
  const std::vector<std::string> lines =
      absl::StrSplit(AsAbsl(block), '\n', absl::SkipEmpty());
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
  std::string_view rest = buffer_;
  for (size_t n = scanner_.Next(rest); n != std::string_view::npos;
       n = scanner_.Next(rest)) {
    events.push_back(ParseEvent(rest.substr(0, n)));
    rest.remove_prefix(n);
  }
  buffer_.erase(0, buffer_.size() - rest.size());
  return events;
}

}  // namespace tamaracktrail
