#include "transport/event_loop.h"

#include <glib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>

#include <glog/logging.h>

#include "transport/clock.h"
#include "transport/io_handler.h"

namespace tamaracktrail {

namespace {

//! Events handled per wake-up; the rest wait for the next one.
constexpr int kEventsPerWakeUp = 128;

//! Context that all event loops share. It is not GLib's default context, as
//! libraries leave callbacks there that may outlive the objects they use.
GMainContext* SharedContext() {
  static GMainContext* context = g_main_context_new();
  return context;
}

uint64_t Tag(int fd, uint32_t generation) {
  return (static_cast<uint64_t>(generation) << 32) | static_cast<uint32_t>(fd);
}

}  // namespace

struct EventLoop::Source {
  GSource base;
  EventLoop* owner;

  static gboolean Run(GSource* source, GSourceFunc, gpointer) {
    reinterpret_cast<Source*>(source)->owner->Dispatch();
    return G_SOURCE_CONTINUE;
  }
};

EventLoop::EventLoop()
    : loop_(g_main_loop_new(SharedContext(), FALSE)),
      epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      now_(MonotonicNow()) {
  static GSourceFuncs functions = {nullptr, nullptr, &Source::Run,
                                   nullptr, nullptr, nullptr};
  PCHECK(epoll_fd_ >= 0) << "event=epoll_failed";
  source_ = g_source_new(&functions, sizeof(Source));
  reinterpret_cast<Source*>(source_)->owner = this;
  g_source_add_unix_fd(source_, epoll_fd_, G_IO_IN);
  g_source_attach(source_, SharedContext());
}

EventLoop::~EventLoop() {
  g_source_destroy(source_);
  g_source_unref(source_);
  g_main_loop_unref(loop_);
  close(epoll_fd_);
}

void EventLoop::Watch(int fd, uint32_t events, IoHandler* handler) {
  const uint32_t generation = next_generation_++;
  watched_[fd] = {handler, generation};
  epoll_event event{};
  event.events = events;
  event.data.u64 = Tag(fd, generation);
  PCHECK(epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event) == 0)
      << "event=watch_failed fd=" << fd;
}

void EventLoop::UpdateWatch(int fd, uint32_t events) {
  const auto it = watched_.find(fd);
  CHECK(it != watched_.end()) << "event=not_watched fd=" << fd;
  epoll_event event{};
  event.events = events;
  event.data.u64 = Tag(fd, it->second.generation);
  PCHECK(epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, fd, &event) == 0)
      << "event=watch_failed fd=" << fd;
}

void EventLoop::Unwatch(int fd) {
  if (watched_.erase(fd) > 0) {
    epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
  }
}

EventLoop::TimerId EventLoop::After(Millis delay, Callback callback) {
  const Millis wait = std::max(delay, Millis(0));
  const TimerId id{(now_ + wait).count(), next_timer_++};
  timers_.emplace(id, std::move(callback));
  if (timers_.begin()->first == id) {
    UpdateReadyTime();
  }
  return id;
}

void EventLoop::Cancel(TimerId* id) {
  timers_.erase(*id);
  *id = {};
}

void EventLoop::Defer(Callback callback) {
  deferred_.push_back(std::move(callback));
}

void EventLoop::Run() {
  g_main_loop_run(loop_);
}

void EventLoop::Quit() {
  g_main_loop_quit(loop_);
}

void EventLoop::Dispatch() {
  now_ = MonotonicNow();
  turn_ended_at_ = now_;
  std::array<epoll_event, kEventsPerWakeUp> events;
  const int n = epoll_wait(epoll_fd_, events.data(), kEventsPerWakeUp, 0);
  for (int i = 0; i < n; ++i) {
    const uint64_t tag = events[i].data.u64;
    const auto it = watched_.find(static_cast<int>(tag & 0xffffffffU));
    // An earlier handler of this wake-up may have closed the descriptor, and a
    // new connection may have the same number; its generation differs.
    if (it != watched_.end() && it->second.generation == tag >> 32) {
      RunTurn("descriptor",
              [&] { it->second.handler->OnReady(events[i].events); });
    }
  }
  RunTimers();
  RunDeferred();
  UpdateReadyTime();
  EndWakeUp();
}

template <class Function>
void EventLoop::RunTurn(std::string_view source, const Function& run) {
  SetTurnOwner(source, {});
  run();
  const Millis ended_at = MonotonicNow();
  turn_.duration = ended_at - turn_ended_at_;
  turn_ended_at_ = ended_at;
  if (turn_.duration > longest_turn_.duration) {
    std::swap(turn_, longest_turn_);
  }
}

void EventLoop::EndWakeUp() {
  const Millis duration = turn_ended_at_ - now_;
  longest_wake_up_ = std::max(longest_wake_up_, duration);
  if (on_slow_wake_up_ != nullptr && duration >= slow_limit_) {
    on_slow_wake_up_(duration, longest_turn_);
  }
  if (longest_turn_.duration > Millis(0)) {
    longest_turn_ = {};
  }
}

void EventLoop::SetTurnOwner(std::string_view source,
                             std::string_view peer,
                             std::string_view request) {
  turn_.source = source;
  turn_.peer = peer;
  turn_.request = request;
}

void EventLoop::ReportSlowWakeUps(Millis limit, OnSlowWakeUp callback) {
  slow_limit_ = limit;
  on_slow_wake_up_ = std::move(callback);
}

void EventLoop::RunTimers() {
  // Timers that are set by these wait for the next wake-up, even without a
  // delay, so that descriptors are served before them.
  const uint64_t first_new = next_timer_;
  while (!timers_.empty() && timers_.begin()->first.first <= now_.count() &&
         timers_.begin()->first.second < first_new) {
    const Callback callback = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    RunTurn("timer", callback);
  }
}

void EventLoop::RunDeferred() {
  while (!deferred_.empty()) {
    std::vector<Callback> batch;
    batch.swap(deferred_);
    for (const Callback& it : batch) {
      RunTurn("deferred", it);
    }
  }
}

void EventLoop::UpdateReadyTime() {
  if (timers_.empty()) {
    g_source_set_ready_time(source_, -1);
    return;
  }
  const int64_t wait =
      std::max<int64_t>(0, timers_.begin()->first.first - now_.count());
  g_source_set_ready_time(source_, g_get_monotonic_time() + wait * 1000);
}

}  // namespace tamaracktrail
