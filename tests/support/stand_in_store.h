#ifndef TESTS_SUPPORT_STAND_IN_STORE_H_
#define TESTS_SUPPORT_STAND_IN_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/store_record.h"
#include "state/millis.h"
#include "transport/metrics.h"
#include "transport/relay/relay_server.h"

namespace tamaracktrail {

class EventLoop;

//! The platform's store as its documentation specifies it, for keyed topics
//! with one partition, with the faults of Faults. Not thread-safe.
class StandInStore {
 public:
  //! Faults of calls; they can be combined.
  struct Faults {
    bool refuse = false;        //!< Answers 503 without effect.
    std::string refuse_topic;   //!< The same for calls of this topic only.
    bool unresponsive = false;  //!< No answer and no effect.
    bool lose_append_answers =
        false;            //!< Appends take effect and get no answer.
    Millis delay;         //!< Before each call is handled.
    Millis answer_delay;  //!< Between a call's effect and its answer.
  };

  //! Listens on a free port of 127.0.0.1.
  explicit StandInStore(EventLoop* loop);
  ~StandInStore();

  const std::string& address() const { return address_; }
  Faults& faults() { return faults_; }

  //! Writes one record, as the operator or an endpoint would.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);

  //! Compacts the log of a topic: reads from offsets before its current end are
  //! refused. Newest() and ListNewest() are not affected: the newest record of
  //! each key is kept for them.
  void Compact(const std::string& topic);

  //! The newest value of a key; empty if there is none.
  std::string Newest(const std::string& topic, const std::string& key) const;

  //! A copy of all topics, to restore from.
  class Copy;
  std::shared_ptr<const Copy> MakeCopy() const;

  //! Comes back from an older copy: all records since, positions and producers
  //! are lost, and the generation rises. What the operator and the endpoints
  //! wrote since is written again at once if `rewrite`.
  void Restore(const Copy& copy, bool rewrite = true);

  uint64_t calls() const { return calls_; }

  //! Sets the largest number of records in one page of a listing.
  void SetPageSize(size_t n) { page_size_ = n; }

 private:
  class Task;
  //! Last append of a producer; a repeat of it gets the same answer.
  struct Producer {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    bool has_sequence = false;  //!< Whether it has appended in this epoch.
    std::string answer;
  };
  struct Topic {
    int64_t first_offset = 0;
    std::vector<platform::StoreRecord> records;  //!< From `first_offset`.
    std::map<std::string, platform::StoreRecord> newest;
    std::map<std::string, Producer> producers;

    int64_t end() const {
      return first_offset + static_cast<int64_t>(records.size());
    }
  };

  //! Status and body of an answer.
  using Answer = std::pair<int, std::string>;

  Answer Append(const std::map<std::string, std::string>& query,
                const std::string& body);
  Answer Read(const std::map<std::string, std::string>& query);
  Answer ListNewest(const std::map<std::string, std::string>& query);
  static void ApplyRecord(Topic* topic, const platform::StoreRecord& record);

  EventLoop* loop_;
  Metrics metrics_;
  std::string address_;
  Faults faults_;
  size_t page_size_ = 500;
  uint64_t calls_ = 0;
  int64_t generation_ = 1;
  std::map<std::string, Topic> topics_;
  std::unique_ptr<RelayServer> server_;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_STAND_IN_STORE_H_
