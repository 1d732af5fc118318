#ifndef SUPPORT_EVENT_QUEUE_H_
#define SUPPORT_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "state/millis.h"

namespace tamaracktrail {

//! Simulated-time event queue, ordered by time, then by insertion. It never
//! reads a clock: RunUntil() advances now().
class EventQueue {
 public:
  Millis now() const { return now_; }

  void At(Millis time, std::function<void()> event) {
    events_.emplace(std::pair(std::max(time, now_), next_sequence_++),
                    std::move(event));
  }
  void After(Millis delay, std::function<void()> event) {
    At(now_ + delay, std::move(event));
  }

  //! Runs all events that are due until `end`, then sets now() to `end`.
  void RunUntil(Millis end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto it = events_.begin();
      now_ = it->first.first;
      const std::function<void()> event = std::move(it->second);
      events_.erase(it);
      event();
    }
    now_ = end;
  }

 private:
  Millis now_;
  uint64_t next_sequence_ = 0;
  std::map<std::pair<Millis, uint64_t>, std::function<void()>> events_;
};

}  // namespace tamaracktrail

#endif  // SUPPORT_EVENT_QUEUE_H_
