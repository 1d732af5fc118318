#ifndef SUPPORT_FAKE_LOG_H_
#define SUPPORT_FAKE_LOG_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state/log_entry.h"

namespace tamaracktrail {

//! In-memory replacement for the platform's log, with retention. Not
//! thread-safe.
class FakeLog {
 public:
  uint64_t Append(const std::string& stream, const std::string& payload) {
    std::vector<LogEntry>& entries = streams_[stream];
    entries.push_back({entries.size() + 1, payload});
    ++appends_;
    bytes_ += payload.size();
    return entries.back().offset;
  }

  //! Entries from offset `from`, or from the oldest retained one if that is
  //! later.
  std::vector<LogEntry> Read(const std::string& stream,
                             uint64_t from,
                             size_t max_entries) const {
    auto it = streams_.find(stream);
    if (it == streams_.end()) {
      return {};
    }
    const std::vector<LogEntry>& entries = it->second;
    const uint64_t oldest = entries.size() > retained_entries_
                                ? entries.size() - retained_entries_ + 1
                                : 1;
    const uint64_t first = std::max(from, oldest);
    std::vector<LogEntry> out;
    for (uint64_t i = first; i <= entries.size() && out.size() < max_entries;
         ++i) {
      out.push_back(entries[i - 1]);
    }
    return out;
  }

  uint64_t End(const std::string& stream) const {
    auto it = streams_.find(stream);
    return it == streams_.end() ? 1 : it->second.size() + 1;
  }

  //! All entries ever appended, including those past retention.
  const std::map<std::string, std::vector<LogEntry>>& streams() const {
    return streams_;
  }

  void set_retained_entries(size_t entries) { retained_entries_ = entries; }
  uint64_t appends() const { return appends_; }
  uint64_t bytes() const { return bytes_; }

 private:
  std::map<std::string, std::vector<LogEntry>> streams_;
  size_t retained_entries_ = SIZE_MAX;
  uint64_t appends_ = 0;
  uint64_t bytes_ = 0;
};

}  // namespace tamaracktrail

#endif  // SUPPORT_FAKE_LOG_H_
