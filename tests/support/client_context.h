#ifndef TESTS_SUPPORT_CLIENT_CONTEXT_H_
#define TESTS_SUPPORT_CLIENT_CONTEXT_H_

#include <glib.h>

#include "state/millis.h"
#include "transport/clock.h"

namespace tamaracktrail {

//! Makes a new context the thread's default one. On GLib's own default context,
//! calls that other tests have left open would end here. Not thread-safe.
class ClientContext {
 public:
  ClientContext() { g_main_context_push_thread_default(context_); }
  ~ClientContext() {
    g_main_context_pop_thread_default(context_);
    g_main_context_unref(context_);
  }

  //! Handles events until `done` holds or `time` has passed.
  template <class Done>
  void RunUntil(Done done, Millis time) {
    const Millis end = MonotonicNow() + time;
    while (!done() && MonotonicNow() < end) {
      if (!g_main_context_iteration(context_, FALSE)) {
        g_usleep(1000);
      }
    }
  }

 private:
  GMainContext* context_ = g_main_context_new();
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_CLIENT_CONTEXT_H_
