#ifndef SUPPORT_STAND_IN_LOG_H_
#define SUPPORT_STAND_IN_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "support/stand_in_server.h"

namespace tamaracktrail {

//! A stand-in for the platform's log. Control keys: "outage" (bool),
//! "delay_ms", "lose_answers" (number of next appends that take effect and get
//! no answer), "keep" (entries retained per stream), "appends_per_second".
class StandInLog : public StandInServer {
 public:
  uint64_t appends() const { return appends_; }

 private:
  struct Stream {
    uint64_t first_offset = 1;
    std::deque<std::string> entries;  //!< Base64, as received.
    uint64_t end() const { return first_offset + entries.size(); }
  };
  struct PendingRead {
    SoupServerMessage* message = nullptr;
    std::string stream;
    uint64_t from = 0;
    size_t max_records = 0;
    bool done = false;
  };

  void OnRequest(SoupServerMessage* message,
                 const std::string& path,
                 const Query& query) override;
  void Append(SoupServerMessage* message, const std::string& stream);
  void Read(SoupServerMessage* message,
            const std::string& stream,
            const Query& query);
  void Answer(PendingRead& read);
  void AnswerPendingReads(const std::string& stream);
  bool ExceedsAppendRate();

  std::map<std::string, Stream> streams_;
  std::vector<std::shared_ptr<PendingRead>> pending_reads_;
  uint64_t appends_ = 0;
  int64_t current_second_ = 0;
  int64_t appends_in_second_ = 0;
};

}  // namespace tamaracktrail

#endif  // SUPPORT_STAND_IN_LOG_H_
