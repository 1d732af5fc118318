#ifndef PROTOCOL_SSE_PARSER_H_
#define PROTOCOL_SSE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/sse_event_scanner.h"

namespace tamaracktrail {

//! One server-sent event.
struct SseEvent {
  std::string id;
  std::string data;

  friend bool operator==(const SseEvent&, const SseEvent&) = default;
};

//! Parses a byte stream into the ids and data of its server-sent events.
//! SseSplitter keeps the events' bytes instead. Not thread-safe.
class SseParser {
 public:
  //! Appends `bytes` and returns the events that they complete.
  std::vector<SseEvent> Feed(const std::string& bytes);

  //! Number of buffered bytes of an incomplete event.
  size_t pending_bytes() const { return buffer_.size(); }

  //! Bytes examined so far to find the ends of events.
  uint64_t examined_bytes() const { return scanner_.examined_bytes(); }

 private:
  SseEventScanner scanner_;
  std::string buffer_;
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_SSE_PARSER_H_
