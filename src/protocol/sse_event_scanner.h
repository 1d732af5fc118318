#ifndef PROTOCOL_SSE_EVENT_SCANNER_H_
#define PROTOCOL_SSE_EVENT_SCANNER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tamaracktrail {

//! Finds the ends of server-sent events in a stream that arrives in pieces.
//!
//! Each byte is examined a constant number of times, however the stream is cut
//! and however short its events are. Not thread-safe.
class SseEventScanner {
 public:
  //! Returns the size of the first event in `bytes` with its blank line, whose
  //! two line ends may differ; npos if the event is incomplete. Precondition:
  //! `bytes` begins where the event returned before ended, or is what was
  //! incomplete in the previous call, with further bytes after it.
  size_t Next(std::string_view bytes);

  //! Begins a new stream.
  void Restart() { resume_at_ = 0; }

  //! Bytes examined so far; one that was examined twice counts twice.
  uint64_t examined_bytes() const { return examined_bytes_; }

 private:
  //! Where the search in an incomplete event goes on: no earlier line end can
  //! be that of the line before the blank one.
  size_t resume_at_ = 0;
  uint64_t examined_bytes_ = 0;
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_SSE_EVENT_SCANNER_H_
