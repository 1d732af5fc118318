#include "transport/task.h"

#include <glib.h>

#include <condition_variable>
#include <mutex>
#include <utility>

#include <glog/logging.h>

namespace tamaracktrail {

namespace {

using Callback = std::function<void()>;

gboolean RunOnce(gpointer data) {
  (*static_cast<Callback*>(data))();
  return G_SOURCE_REMOVE;
}

gboolean RunPeriodically(gpointer data) {
  (*static_cast<Callback*>(data))();
  return G_SOURCE_CONTINUE;
}

void Destroy(gpointer data) {
  delete static_cast<Callback*>(data);
}

}  // namespace

Task::Task()
    : context_(g_main_context_new()), loop_(g_main_loop_new(context_, FALSE)) {}

Task::~Task() {
  CHECK(!thread_.joinable()) << "a running task was destroyed";
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

void Task::Post(Callback callback) {
  GSource* source = g_idle_source_new();
  g_source_set_priority(source, G_PRIORITY_DEFAULT);
  g_source_set_callback(source, RunOnce, new Callback(std::move(callback)),
                        Destroy);
  g_source_attach(source, context_);
  g_source_unref(source);
}

void Task::PostAndWait(const Callback& callback) {
  std::mutex mutex;
  std::condition_variable finished;
  bool done = false;
  Post([&] {
    callback();
    const std::lock_guard<std::mutex> lock(mutex);
    done = true;
    finished.notify_one();
  });
  std::unique_lock<std::mutex> lock(mutex);
  finished.wait(lock, [&] { return done; });
}

void Task::RunEvery(Millis period, Callback callback) {
  GSource* source = g_timeout_source_new(static_cast<guint>(period.count()));
  g_source_set_callback(source, RunPeriodically,
                        new Callback(std::move(callback)), Destroy);
  g_source_attach(source, context_);
  g_source_unref(source);
}

}  // namespace tamaracktrail
