#ifndef TESTS_SUPPORT_SERVER_THREAD_H_
#define TESTS_SUPPORT_SERVER_THREAD_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <future>
#include <string>
#include <thread>

#include "state/millis.h"
#include "transport/event_loop.h"

namespace tamaracktrail {

//! An `Endpoint`, made of `Args` and with an `address`, in a thread of its own
//! with its own loop, for clients that use GLib's contexts.
template <class Endpoint>
class ServerThread {
 public:
  template <class... Args>
  explicit ServerThread(Args... args)
      : thread_([this, args...] { Run(args...); }) {}
  ~ServerThread() { Stop(); }

  ServerThread(const ServerThread&) = delete;
  ServerThread& operator=(const ServerThread&) = delete;

  //! To be called once.
  std::string address() { return address_.get_future().get(); }

  //! Ends the server and returns how many bytes it has sent, if it counts them.
  size_t Stop() {
    done_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
    return sent_;
  }

 private:
  template <class... Args>
  void Run(const Args&... args) {
    EventLoop loop;
    Endpoint endpoint(&loop, args...);
    address_.set_value(endpoint.address());
    const std::function<void()> check = [&] {
      if (done_) {
        loop.Quit();
      } else {
        loop.After(Millis(5), check);
      }
    };
    check();
    loop.Run();
    if constexpr (requires { endpoint.sent(); }) {
      sent_ = endpoint.sent();
    }
  }

  std::promise<std::string> address_;
  std::atomic<bool> done_ = false;
  size_t sent_ = 0;
  std::thread thread_;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_SERVER_THREAD_H_
