#include "soak/instance_process.h"

#include <fcntl.h>
#include <glib.h>
#include <glog/logging.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "support/loopback.h"

namespace tamaracktrail {

InstanceProcess::InstanceProcess(EventLoop* loop,
                                 const std::string& binary,
                                 const std::string& folder,
                                 std::string name,
                                 const std::string& store_address,
                                 const std::string& data_centre)
    : binary_(binary),
      name_(std::move(name)),
      callers_address_(FreeAddress()),
      health_address_(FreeAddress()),
      peers_address_(FreeAddress()),
      metrics_address_(FreeAddress()),
      settings_path_(absl::StrCat(folder, "/", name_, ".ini")),
      log_path_(absl::StrCat(folder, "/", name_, ".log")),
      store_link_(loop, store_address) {
  std::ofstream out(settings_path_);
  out << "[instance]\nname = " << name_ << "\ndata_centre = " << data_centre
      << "\n[listen]\ncallers = " << callers_address_
      << "\nhealth = " << health_address_ << "\npeers = " << peers_address_
      << "\nmetrics = " << metrics_address_
      << "\n[store]\naddress = " << store_link_.address()
      << "\nreads_per_s = 2000\nwrites_per_s = 800\n"
      << "[limits]\nfile_descriptors = 1024\ngrace_ms = 5000\n"
      << "[retries]\nratio = 0.2\nextra = 50\n";
}

InstanceProcess::~InstanceProcess() {
  if (running()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void InstanceProcess::AddSettings(const std::string& lines) {
  CHECK(!running());
  std::ofstream(settings_path_, std::ios::app) << lines;
}

void InstanceProcess::Start() {
  CHECK(!running());
  const int log =
      open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  PCHECK(log >= 0);
  std::string settings = absl::StrCat("--settings=", settings_path_);
  std::string command = "front";
  gchar* arguments[] = {binary_.data(), command.data(), settings.data(),
                        nullptr};
  // An instance that outlived its parent would keep calling the ports of the
  // stand-ins, which other processes may use by then.
  const GSpawnChildSetupFunc setup = [](gpointer data) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    (*static_cast<std::function<void()>*>(data))();
  };
  CHECK(g_spawn_async_with_fds(nullptr, arguments, nullptr,
                               G_SPAWN_DO_NOT_REAP_CHILD, setup, &child_setup_,
                               &pid_, -1, log, log, nullptr))
      << "event=not_started binary=" << binary_;
  close(log);
  ++start_count_;
}

void InstanceProcess::Signal(int signal) {
  CHECK_GT(pid_, 0);
  kill(pid_, signal);
}

bool InstanceProcess::running() {
  if (pid_ > 0 && waitpid(pid_, &exit_status_, WNOHANG) == pid_) {
    pid_ = 0;
  }
  return pid_ > 0;
}

}  // namespace tamaracktrail
