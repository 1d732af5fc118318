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

//! A model engine: batches, caches prompt prefixes in limited memory, streams,
//! resumes, and reports its load with a lag.
//!
//! The text is a function of the prompt; "words=N" in the prompt asks for N
//! words. A prompt with "CRASH" crashes the engine: all connections are cut and
//! it is away for "restart_ms". /cache_events?from=N tells of cached and
//! evicted prefixes late ("event_lag_ms") and with gaps (each "event_gap"th is
//! lost). Switches: "capacity", "token_ms", "prefill_ms", "cached_prefill_ms",
//! "cache_entries", "leaving", "load_lag_ms", "cut_after" (chunks; once),
//! "wrong_attempt" (once), "refuse" (bool), "checks_fencing", "restart_ms".
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
  void Health(SoupServerMessage* message);
  void TakeOrder(SoupServerMessage* message);
  void Generate(SoupServerMessage* message, const std::string& path);
  void StartNext();
  void Run(const std::shared_ptr<Stream>& stream);
  void Step(const std::shared_ptr<Stream>& stream);
  void SendChunk(Stream& stream);
  void SendEnd(Stream& stream);
  void End(const std::shared_ptr<Stream>& stream);
  void Crash();
  bool TouchCache(const std::string& prefix);
  void Publish(const std::string& kind, const std::string& prefix);
  void CacheEvents(SoupServerMessage* message, const Query& query);

  std::string name_;
  uint64_t boot_ = 0;
  uint64_t runs_ = 0;
  uint64_t crashes_ = 0;
  uint64_t cache_hits_ = 0;
  uint64_t highest_fencing_ = 0;
  std::set<std::string> loaded_;
  std::set<std::shared_ptr<Stream>> running_;
  std::deque<std::shared_ptr<Stream>> waiting_;
  std::list<std::string> cache_;  //!< Prefixes, the last used first.
  struct CacheEvent {
    uint64_t sequence = 0;
    int64_t at = 0;  //!< Milliseconds, when it happened.
    std::string kind;
    std::string prefix;
  };

  std::deque<std::pair<int64_t, size_t>> load_history_;
  std::deque<CacheEvent> cache_events_;
  uint64_t cache_sequence_ = 0;
};

}  // namespace tamaracktrail

#endif  // SUPPORT_STAND_IN_ENGINE_H_
