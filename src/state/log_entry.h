#ifndef STATE_LOG_ENTRY_H_
#define STATE_LOG_ENTRY_H_

#include <cstdint>
#include <string>

namespace tamaracktrail {

//! One entry of a log stream. Offsets of a stream are contiguous and start
//! at 1.
struct LogEntry {
  uint64_t offset = 0;
  std::string payload;  //!< Raw bytes of one encoded batch.

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

}  // namespace tamaracktrail

#endif  // STATE_LOG_ENTRY_H_
