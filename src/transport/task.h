#ifndef TRANSPORT_TASK_H_
#define TRANSPORT_TASK_H_

#include <functional>
#include <thread>

#include "state/millis.h"

typedef struct _GMainContext GMainContext;
typedef struct _GMainLoop GMainLoop;

namespace tamaracktrail {

//! A thread with its own GLib main context. Objects that belong to a task are
//! created, used and destroyed on its thread; other threads access them through
//! Post.
class Task {
 public:
  Task();
  ~Task();

  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  //! Starts the thread. Call once.
  void Start();

  //! Runs the callbacks that are already posted, then joins the thread. Call
  //! once, from another thread.
  void Stop();

  //! Runs `callback` on the task, in order of posting. Thread-safe.
  void Post(std::function<void()> callback);

  //! Runs `callback` on the task and blocks until it returns. Precondition:
  //! called from another thread.
  void PostAndWait(const std::function<void()>& callback);

  //! Calls `callback` on the task every `period` until the task stops. Call it
  //! on the task.
  void RunEvery(Millis period, std::function<void()> callback);

 private:
  GMainContext* context_;
  GMainLoop* loop_;
  std::thread thread_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_TASK_H_
