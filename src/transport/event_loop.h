#ifndef TRANSPORT_EVENT_LOOP_H_
#define TRANSPORT_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "state/millis.h"
#include "transport/loop_turn.h"

typedef struct _GMainLoop GMainLoop;
typedef struct _GSource GSource;

namespace tamaracktrail {

class IoHandler;

//! Runs descriptors and timers on a GLib main loop.
//!
//! All descriptors are in one epoll set, and all timers share the ready time of
//! one GLib source, so that the cost of a wake-up does not grow with the number
//! of connections. Not thread-safe: all calls come from the thread that runs
//! the loop.
class EventLoop {
 public:
  using Callback = std::function<void()>;
  //! Due time in ms, and a number that identifies the timer among those with
  //! the same due time.
  using TimerId = std::pair<int64_t, uint64_t>;

  EventLoop();
  ~EventLoop();

  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  //! Watches `fd` for EPOLL `events`. Precondition: `fd` is not watched and
  //! `handler` lives until `Unwatch`.
  void Watch(int fd, uint32_t events, IoHandler* handler);
  //! Replaces the events of a watched descriptor. Precondition: `fd` is
  //! watched.
  void UpdateWatch(int fd, uint32_t events);
  void Unwatch(int fd);

  //! Calls `callback` once, after `delay`; in a later wake-up if it is set by a
  //! timer or a deferred callback.
  TimerId After(Millis delay, Callback callback);

  //! Cancels a timer and resets the id; has no effect on a timer that has run.
  void Cancel(TimerId* id);

  //! Calls `callback` after the handlers of this wake-up.
  void Defer(Callback callback);

  //! Runs until `Quit`.
  void Run();
  void Quit();

  //! Time since boot, suspension included; read once per wake-up.
  Millis Now() const { return now_; }

  //! Names what the running turn works on, for `OnSlowWakeUp`. The last call of
  //! a turn counts.
  void SetTurnOwner(std::string_view source,
                    std::string_view peer,
                    std::string_view request = {});

  //! Receives the duration of a wake-up and its longest turn.
  using OnSlowWakeUp = std::function<void(Millis, const LoopTurn&)>;
  //! Calls `callback` after each wake-up that took `limit` or longer: no other
  //! descriptor was served in that time.
  void ReportSlowWakeUps(Millis limit, OnSlowWakeUp callback);
  //! Duration of the longest wake-up so far.
  Millis longest_wake_up() const { return longest_wake_up_; }

  //! Bytes that the TCP connections of this loop received and sent so far.
  struct Traffic {
    uint64_t received = 0;
    uint64_t sent = 0;
  };
  Traffic& traffic() { return traffic_; }

 private:
  struct Source;
  struct Watched {
    IoHandler* handler = nullptr;
    uint32_t generation = 0;
  };

  void Dispatch();
  //! Calls `run` as one turn and measures it. `source` counts unless the turn
  //! names its owner.
  template <class Function>
  void RunTurn(std::string_view source, const Function& run);
  void EndWakeUp();
  void RunTimers();
  void RunDeferred();
  void UpdateReadyTime();

  GMainLoop* loop_;
  GSource* source_;
  int epoll_fd_;
  uint32_t next_generation_ = 1;
  uint64_t next_timer_ = 1;
  Millis now_;
  Traffic traffic_;
  LoopTurn turn_;          //!< The running one.
  LoopTurn longest_turn_;  //!< Of this wake-up.
  Millis turn_ended_at_;   //!< The last one, or the beginning of the wake-up.
  Millis longest_wake_up_;
  Millis slow_limit_;
  OnSlowWakeUp on_slow_wake_up_;
  std::unordered_map<int, Watched> watched_;
  std::map<TimerId, Callback> timers_;
  std::vector<Callback> deferred_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_EVENT_LOOP_H_
