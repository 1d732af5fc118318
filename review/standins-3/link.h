// The path from the instances to one engine. A cut holds all bytes and ends of
// connections back, in both directions, and delivers them once it has healed.
#ifndef REVIEW_STANDINS_3_LINK_H_
#define REVIEW_STANDINS_3_LINK_H_

#include <atomic>
#include <string>
#include <thread>

#include "net.h"

namespace review {

class Link {
 public:
  // Listens on `port` and connects to `target`.
  Link(int port, int target) : fd_(Listen(port)), target_(target) {
    std::thread([this] { Accept(); }).detach();
  }

  void Cut(bool on) { cut_ = on; }

 private:
  void Accept() {
    while (true) {
      const int caller = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (caller >= 0) {
        std::thread([this, caller] { Serve(caller); }).detach();
      }
    }
  }

  void Wait() const {
    while (cut_) {
      SleepMs(2);
    }
  }

  void Serve(int caller) {
    Wait();
    const int engine = Connect(target_);
    if (engine < 0) {
      // The engine's machine refuses the connection.
      const linger reset{1, 0};
      setsockopt(caller, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      close(caller);
      return;
    }
    const int on = 1;
    setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread up([this, caller, engine] { Pump(caller, engine); });
    Pump(engine, caller);
    up.join();
    close(caller);
    close(engine);
  }

  // Forwards bytes and the end, or the reset, of one direction.
  void Pump(int from, int to) const {
    while (true) {
      std::string bytes;
      const ReadEnd got = ReadSome(from, &bytes, 3600000);
      Wait();
      if (got == ReadEnd::kData && SendAll(to, bytes)) {
        continue;
      }
      if (got == ReadEnd::kEnd) {
        shutdown(to, SHUT_WR);
        return;
      }
      const linger reset{1, 0};
      setsockopt(to, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      shutdown(from, SHUT_RDWR);
      shutdown(to, SHUT_RDWR);
      return;
    }
  }

  int fd_;
  int target_;
  std::atomic<bool> cut_{false};
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_LINK_H_
