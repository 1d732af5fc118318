#ifndef CLI_REQUEST_TRACE_H_
#define CLI_REQUEST_TRACE_H_

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace tamaracktrail {

//! Finds what the logs of the instances say of one request: its own lines, and
//! what was last known of the things that they name. Not thread-safe.
class RequestTrace {
 public:
  explicit RequestTrace(std::string request_id);

  //! Reads the log of one instance. `source` names it in the result.
  void Read(const std::string& source, std::istream& in);

  //! One line a record, in the order of their times; empty where the id is in
  //! no log.
  std::vector<std::string> Lines() const;

 private:
  struct Record {
    int64_t time_ms = 0;
    std::string source;
    std::string text;

    friend auto operator<=>(const Record&, const Record&) = default;
  };

  void AddContext(const std::string& source,
                  const std::map<std::string, Record>& state,
                  const std::string& line);

  std::string request_id_;
  std::vector<Record> records_;
};

}  // namespace tamaracktrail

#endif  // CLI_REQUEST_TRACE_H_
