#ifndef TRANSPORT_LOG_SERVICE_H_
#define TRANSPORT_LOG_SERVICE_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "state/log_entry.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Result of reading a log stream.
struct LogPage {
  std::vector<LogEntry> entries;  //!< Ascending, contiguous.
  uint64_t end = 1;               //!< Offset after the stream's last entry.
};

//! Gets the offset of the entry, or an error.
using AppendDone = std::function<void(absl::StatusOr<uint64_t>)>;
using ReadDone = std::function<void(absl::StatusOr<LogPage>)>;

//! The platform's append-only log. docs/INTERFACES.md states the guarantees of
//! each call.
template <class L>
concept LogService =
    requires(L log, const std::string& text, AppendDone append, ReadDone read) {
  //! Appends one entry and returns its offset. After an error the entry may or
  //! may not be in the stream.
  log.Append(text, text, append);
  //! Reads from an offset, or from the oldest retained entry if that is later.
  //! If there is no entry yet, waits for one up to the given time.
  log.Read(text, uint64_t{}, size_t{}, Millis(), read);
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_LOG_SERVICE_H_
