#ifndef TESTS_SUPPORT_STAND_IN_STORE_H_
#define TESTS_SUPPORT_STAND_IN_STORE_H_

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

//! The platform's store as its pages describe it, for keyed topics with one
//! partition, with the faults that they name. Not thread-safe.
class StandInStore {
 public:
  //! What happens to calls; several may hold.
  struct Faults {
    bool refuse = false;        //!< 503, nothing was done.
    bool silent = false;        //!< No answer, nothing was done.
    bool lose_appends = false;  //!< Appends are done and not answered.
    Millis delay;
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

  //! Forgets all but the newest record of each key.
  void Compact(const std::string& topic);

  //! The newest value of a key; empty for none.
  std::string Newest(const std::string& topic, const std::string& key) const;

  uint64_t calls() const { return calls_; }

 private:
  class Task;
  struct Producer {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    bool any = false;
    std::string answer;
  };
  struct Topic {
    int64_t first = 0;
    std::vector<platform::StoreRecord> records;  //!< From `first`.
    std::map<std::string, platform::StoreRecord> newest;
    std::map<std::string, Producer> producers;

    int64_t end() const { return first + static_cast<int64_t>(records.size()); }
  };

  //! Status and body of an answer.
  using Answer = std::pair<int, std::string>;

  Answer Append(const std::map<std::string, std::string>& query,
                const std::string& body);
  Answer Read(const std::map<std::string, std::string>& query);
  Answer List(const std::map<std::string, std::string>& query);
  static void Store(Topic* topic, const platform::StoreRecord& record);

  EventLoop* loop_;
  Metrics metrics_;
  std::string address_;
  Faults faults_;
  uint64_t calls_ = 0;
  std::map<std::string, Topic> topics_;
  std::unique_ptr<RelayServer> server_;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_STAND_IN_STORE_H_
