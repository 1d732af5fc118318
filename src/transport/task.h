#ifndef TRANSPORT_TASK_H_
#define TRANSPORT_TASK_H_

#include <functional>
#include <thread>

#include "state/millis.h"

typedef struct _GMainContext GMainContext;
typedef struct _GMainLoop GMainLoop;

namespace tamaracktrail {

//! A thread with its own GLib main context. Objects that belong to a task are
//! made, used and destroyed on it; other threads reach them by Post.
class Task {
 public:
  Task();
  ~Task();

  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  //! Starts the thread. Call once.
  void Start();

  //! Ends the thread after the messages that are posted already. Call once,
  //! from another thread.
  void Stop();

  //! Runs `message` on the task, in order of posting. Thread-safe.
  void Post(std::function<void()> message);

  //! Runs `message` on the task and waits for it. Precondition: called from
  //! another thread.
  void Run(const std::function<void()>& message);

  //! Calls `tick` on the task again and again until the task stops. Call it on
  //! the task.
  void Every(Millis period, std::function<void()> tick);

 private:
  GMainContext* context_;
  GMainLoop* loop_;
  std::thread thread_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_TASK_H_
