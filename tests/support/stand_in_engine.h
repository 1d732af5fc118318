#ifndef SUPPORT_STAND_IN_ENGINE_H_
#define SUPPORT_STAND_IN_ENGINE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/stand_in_server.h"

namespace tamaracktrail {

//! A model engine with batching, a bounded prefix cache, streaming, resumption
//! and a delayed load report.
//!
//! The generated text depends only on the prompt; "words=N" in the prompt
//! requests N words. Each word is one token and is sent as one chunk. A prompt
//! that contains "CRASH" crashes the engine: it cuts the connections of running
//! requests and stops listening for "restart_ms". /cache_events?from=N reports
//! cached and evicted prefixes after "event_lag_ms" and with gaps (every
//! "event_gap"th event is dropped). Control keys: "load" (target to load),
//! "capacity" (concurrent streams), "token_ms" (between two tokens),
//! "prefill_ms", "cached_prefill_ms", "cache_entries", "event_gap",
//! "event_lag_ms", "leaving" (bool), "load_lag_ms", "cut_after" (chunks; once),
//! "wrong_attempt" (once), "refuse" (bool), "checks_fencing" (bool),
//! "restart_ms".
class StandInEngine : public StandInServer {
 public:
  explicit StandInEngine(std::string name);

  uint64_t runs() const { return runs_; }
  uint64_t crashes() const { return crashes_; }

 private:
  struct Stream;

  void OnRequest(SoupServerMessage* message,
                 const std::string& path,
                 const Query& query) override;
  void OnControl() override;
  void HandleHealth(SoupServerMessage* message);
  void HandleOrder(SoupServerMessage* message);
  void Generate(SoupServerMessage* message, const std::string& path);
  void StartNext();
  void Prefill(const std::shared_ptr<Stream>& stream);
  void Step(const std::shared_ptr<Stream>& stream);
  void SendChunk(Stream& stream);
  void SendLastEvent(Stream& stream);
  void End(const std::shared_ptr<Stream>& stream);
  void Crash();
  bool TouchCache(const std::string& prefix);
  void PublishCacheEvent(const std::string& kind, const std::string& prefix);
  void HandleCacheEvents(SoupServerMessage* message, const Query& query);

  std::string name_;
  uint64_t boot_id_ = 0;
  uint64_t runs_ = 0;
  uint64_t crashes_ = 0;
  uint64_t cache_hits_ = 0;
  uint64_t highest_fencing_number_ = 0;
  std::set<std::string> loaded_;
  std::set<std::shared_ptr<Stream>> running_;
  std::deque<std::shared_ptr<Stream>> waiting_;
  std::list<std::string> cache_;  //!< Prefixes, most recently used first.
  struct CacheEvent {
    uint64_t sequence = 0;
    int64_t time_ms = 0;  //!< Monotonic time of the event.
    std::string kind;
    std::string prefix;
  };

  //! Monotonic time in ms and load, oldest first.
  std::deque<std::pair<int64_t, size_t>> load_history_;
  std::deque<CacheEvent> cache_events_;
  uint64_t cache_sequence_ = 0;
};

}  // namespace tamaracktrail

#endif  // SUPPORT_STAND_IN_ENGINE_H_
