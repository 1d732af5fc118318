#ifndef PROTOCOL_SSE_SPLITTER_H_
#define PROTOCOL_SSE_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/sse_event_scanner.h"

namespace tamaracktrail {

//! Splits a stream of server-sent events at event boundaries without changing
//! the bytes of the events. Not thread-safe.
class SseSplitter {
 public:
  //! Adds bytes and returns the events that are now complete, without those
  //! whose numeric id is not above `last_event_id`: a resumed stream may repeat
  //! events.
  std::string Feed(std::string_view bytes);

  //! Discards the bytes of an incomplete event. Call before the stream is
  //! resumed at another endpoint.
  void Restart() {
    buffer_.clear();
    scanner_.Restart();
  }

  //! Size of the bytes of an incomplete event.
  size_t incomplete_bytes() const { return buffer_.size(); }

  //! Bytes examined so far to find the ends of events.
  uint64_t examined_bytes() const { return scanner_.examined_bytes(); }

  //! Number of events returned so far.
  int64_t event_count() const { return event_count_; }
  //! Id of the last returned event that has one; empty if there is none.
  const std::string& last_event_id() const { return last_event_id_; }

 private:
  //! Whether an event with `id` is not a repeated one; it is then the last.
  bool Accept(std::string_view id);

  SseEventScanner scanner_;
  std::string buffer_;
  int64_t event_count_ = 0;
  std::string last_event_id_;
  //! Value of `last_event_id_`; nullopt if it is no number.
  std::optional<int64_t> last_number_;
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_SSE_SPLITTER_H_
