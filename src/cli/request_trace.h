#ifndef CLI_REQUEST_TRACE_H_
#define CLI_REQUEST_TRACE_H_

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace tamaracktrail {

//! Collects the log lines of one request from the logs of the instances: its
//! own lines, and the latest state of the endpoints, budgets, configuration and
//! store topics that they depend on. Not thread-safe.
class RequestTrace {
 public:
  explicit RequestTrace(std::string request_id);

  //! Reads the log of one instance. `source` prefixes its lines in the result.
  void Read(const std::string& source, std::istream& in);

  //! Returns the collected log lines without duplicates, ordered by time; empty
  //! if no log contains the request id.
  std::vector<std::string> Lines() const;

 private:
  struct LogEntry {
    int64_t time_ms = 0;
    std::string source;
    std::string text;

    friend auto operator<=>(const LogEntry&, const LogEntry&) = default;
  };

  //! Adds the latest state of what `line` depends on: its endpoint, its
  //! organisation's budget and claim, the start, draining, configuration and
  //! budgets of the instance, and the store.
  void AddContext(const std::string& source,
                  const std::map<std::string, LogEntry>& state,
                  const std::string& line);

  std::string request_id_;
  std::vector<LogEntry> entries_;
};

}  // namespace tamaracktrail

#endif  // CLI_REQUEST_TRACE_H_
