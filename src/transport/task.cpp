#include "transport/task.h"

#include <glib.h>

#include <condition_variable>
#include <mutex>
#include <utility>

#include <glog/logging.h>

namespace tamaracktrail {

namespace {

using Message = std::function<void()>;

gboolean RunOnce(gpointer data) {
  (*static_cast<Message*>(data))();
  return G_SOURCE_REMOVE;
}

gboolean RunAgain(gpointer data) {
  (*static_cast<Message*>(data))();
  return G_SOURCE_CONTINUE;
}

void Destroy(gpointer data) {
  delete static_cast<Message*>(data);
}

}  // namespace

Task::Task()
    : context_(g_main_context_new()), loop_(g_main_loop_new(context_, FALSE)) {}

Task::~Task() {
  CHECK(!thread_.joinable()) << "a task was destroyed while it runs";
  g_main_loop_unref(loop_);
  g_main_context_unref(context_);
}

void Task::Start() {
  thread_ = std::thread([this] {
    g_main_context_push_thread_default(context_);
    g_main_loop_run(loop_);
    g_main_context_pop_thread_default(context_);
  });
}

void Task::Stop() {
  Post([this] { g_main_loop_quit(loop_); });
  thread_.join();
}

void Task::Post(Message message) {
  GSource* source = g_idle_source_new();
  g_source_set_priority(source, G_PRIORITY_DEFAULT);
  g_source_set_callback(source, RunOnce, new Message(std::move(message)),
                        Destroy);
  g_source_attach(source, context_);
  g_source_unref(source);
}

void Task::Run(const Message& message) {
  std::mutex mutex;
  std::condition_variable ready;
  bool done = false;
  Post([&] {
    message();
    const std::lock_guard<std::mutex> lock(mutex);
    done = true;
    ready.notify_one();
  });
  std::unique_lock<std::mutex> lock(mutex);
  ready.wait(lock, [&] { return done; });
}

void Task::Every(Millis period, Message tick) {
  GSource* source = g_timeout_source_new(static_cast<guint>(period.count()));
  g_source_set_callback(source, RunAgain, new Message(std::move(tick)),
                        Destroy);
  g_source_attach(source, context_);
  g_source_unref(source);
}

}  // namespace tamaracktrail
