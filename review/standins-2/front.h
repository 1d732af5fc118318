#ifndef REVIEW_STANDINS_2_FRONT_H_
#define REVIEW_STANDINS_2_FRONT_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <fstream>

#include "record.h"
#include "store.h"

namespace review {

//! A front machine: one process of the role in deploy/system.toml, started with
//! its command, and the platform's balancer as far as a client can tell.
class Front {
 public:
  //! Precondition: constructed and started by the main thread.
  Front(Record* record,
        Store::Link* link,
        const std::string& folder,
        std::string name,
        std::string zone)
      : record_(record), name_(std::move(name)), zone_(std::move(zone)) {
    const std::vector<int> ports = FreePorts(4);
    callers_ = ports[0];
    ready_ = ports[1];
    settings_ = folder + "/" + name_ + ".ini";
    log_ = folder + "/" + name_ + ".log";
    peers_ = ports[2];
    metrics_ = ports[3];
    store_ = link->port();
  }
  ~Front() { Kill(); }

  const std::string& name() const { return name_; }
  int callers() const { return callers_; }

  //! Starts the process. `bootstrap`: the whole system starts for the first
  //! time.
  void Start(bool bootstrap) {
    // What deploy/settings.ini.tmpl gives for a machine of madrasa-kit.
    std::ofstream(settings_)
        << "[instance]\nname = " << name_ << "\ndata_centre = " << zone_
        << "\nfirst_start = " << (bootstrap ? 1 : 0)
        << "\n\n[listen]\ncallers = " << AddressOf(callers_)
        << "\nhealth = " << AddressOf(ready_)
        << "\npeers = " << AddressOf(peers_)
        << "\nmetrics = " << AddressOf(metrics_)
        << "\n\n[store]\naddress = " << AddressOf(store_)
        << "\nreads_per_s = 2000\nwrites_per_s = 800\n"
           "\n[limits]\nfile_descriptors = 4100\n"
           "grace_ms = 8000\n"
           "\n[retries]\nratio = 0.2\nextra = 56\n"
           "window_s = 10\n";
    const std::string variable = "TAMARACKTRAIL_SETTINGS=" + settings_;
    std::string path = "PATH=/usr/bin:/bin";
    std::vector<char*> environment = {const_cast<char*>(variable.c_str()),
                                      path.data(), nullptr};
    std::string program = "target/tamaracktrail";
    std::string role = "front";
    std::vector<char*> arguments = {program.data(), role.data(), nullptr};
    const int out =
        open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(out, 1);
      dup2(out, 2);
      execve(program.c_str(), arguments.data(), environment.data());
      _exit(127);
    }
    close(out);
    if (pid_ < 0) {
      throw CaseError("cannot start a process");
    }
    record_->Line("front " + name_ + " is started");
  }

  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
      record_->Line("front " + name_ + " is killed");
    }
  }

  //! Sends SIGTERM, as to stop the process in order.
  void Terminate() {
    if (pid_ > 0) {
      kill(pid_, SIGTERM);
      record_->Line("front " + name_ + " gets SIGTERM");
    }
  }

  bool Running() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = 0;
    }
    return pid_ > 0;
  }

  //! Whether it says that it is ready.
  bool Ready() {
    const auto connection = Connection::To(ready_);
    return connection != nullptr &&
           connection->Write(
               "GET /tamaracktrail/readiness HTTP/1.1\r\nHost: "
               "ready\r\n\r\n") &&
           connection->ReadResponse(NowMs() + 500).status == 200;
  }

  void AwaitReady() {
    const int64_t until = NowMs() + 15000;
    while (!Ready()) {
      if (!Running() || NowMs() > until) {
        throw CaseError("front " + name_ + " does not become ready");
      }
      SleepMs(50);
    }
    record_->Line("front " + name_ + " is ready");
  }

 private:
  Record* record_;
  std::string name_;
  std::string zone_;
  std::string settings_;
  std::string log_;
  int callers_ = 0;
  int ready_ = 0;
  int peers_ = 0;
  int metrics_ = 0;
  int store_ = 0;
  pid_t pid_ = 0;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_FRONT_H_
