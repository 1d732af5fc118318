#ifndef TESTS_SUPPORT_SERVER_THREAD_H_
#define TESTS_SUPPORT_SERVER_THREAD_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <future>
#include <string>
#include <thread>

#include "state/millis.h"
#include "support/raw_endpoint.h"
#include "transport/event_loop.h"

namespace tamaracktrail {

//! A RawEndpoint in a thread of its own, for clients that use GLib's contexts.
class ServerThread {
 public:
  ServerThread(const std::string& bytes, const std::string& filler)
      : thread_([this, bytes, filler] { Run(bytes, filler); }) {}
  ~ServerThread() { Stop(); }

  std::string address() { return address_.get_future().get(); }

  //! Ends the server and returns how many bytes it has sent.
  size_t Stop() {
    done_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
    return sent_;
  }

 private:
  void Run(const std::string& bytes, const std::string& filler) {
    EventLoop loop;
    RawEndpoint endpoint(&loop, bytes, filler);
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
    sent_ = endpoint.sent();
  }

  std::promise<std::string> address_;
  std::atomic<bool> done_ = false;
  size_t sent_ = 0;
  std::thread thread_;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_SERVER_THREAD_H_
