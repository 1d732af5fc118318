#ifndef SUPPORT_STAND_IN_LOG_H_
#define SUPPORT_STAND_IN_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "support/stand_in_server.h"

namespace tamaracktrail {

//! The platform's log. Switches: "outage" (bool), "delay_ms", "lose_answers"
//! (number of further appends that take effect unanswered), "keep" (entries
//! kept of each stream), "appends_per_second".
class StandInLog : public StandInServer {
 public:
  uint64_t appends() const { return appends_; }

 private:
  struct Stream {
    uint64_t first = 1;
    std::deque<std::string> entries;  //!< Base64, as they came.
    uint64_t end() const { return first + entries.size(); }
  };
  struct Reader {
    SoupServerMessage* message = nullptr;
    std::string stream;
    uint64_t from = 0;
    size_t most = 0;
    bool done = false;
  };

  void OnRequest(SoupServerMessage* message,
                 const std::string& path,
                 const Query& query) override;
  void Append(SoupServerMessage* message, const std::string& stream);
  void Read(SoupServerMessage* message,
            const std::string& stream,
            const Query& query);
  void Answer(Reader& reader);
  void Wake(const std::string& stream);
  bool OverRate();

  std::map<std::string, Stream> streams_;
  std::vector<std::shared_ptr<Reader>> readers_;
  uint64_t appends_ = 0;
  int64_t second_ = 0;
  int64_t in_second_ = 0;
};

}  // namespace tamaracktrail

#endif  // SUPPORT_STAND_IN_LOG_H_
