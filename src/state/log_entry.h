#ifndef STATE_LOG_ENTRY_H_
#define STATE_LOG_ENTRY_H_

#include <cstdint>
#include <string>

namespace tamaracktrail {

//! An entry of a log stream. The offsets of a stream start at 1 and are
//! contiguous.
struct LogEntry {
  uint64_t offset = 0;
  std::string payload;  //!< Raw bytes of one encoded batch.

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

}  // namespace tamaracktrail

#endif  // STATE_LOG_ENTRY_H_
