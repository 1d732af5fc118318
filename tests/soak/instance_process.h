#ifndef SOAK_INSTANCE_PROCESS_H_
#define SOAK_INSTANCE_PROCESS_H_

#include <sys/types.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "state/millis.h"
#include "support/fault_proxy.h"

namespace tamaracktrail {

class EventLoop;

//! One instance in its own process, with a fault proxy between it and the
//! store. Not thread-safe.
class InstanceProcess {
 public:
  InstanceProcess(EventLoop* loop,
                  const std::string& binary,
                  const std::string& folder,
                  std::string name,
                  const std::string& store_address,
                  const std::string& data_centre = "dc-1");
  ~InstanceProcess();  //!< Kills the process.

  const std::string& name() const { return name_; }
  const std::string& callers_address() const { return callers_address_; }
  const std::string& health_address() const { return health_address_; }
  const std::string& peers_address() const { return peers_address_; }
  const std::string& metrics_address() const { return metrics_address_; }
  const std::string& log_path() const { return log_path_; }
  FaultProxy& store_link() { return store_link_; }

  //! Called in the child before the program is executed. Only async-signal-safe
  //! functions may be used there.
  void SetChildSetup(std::function<void()> setup) {
    child_setup_ = std::move(setup);
  }

  //! Appends lines to the settings file. A key that is set again replaces the
  //! earlier value. Precondition: not running.
  void AddSettings(const std::string& lines);

  //! Precondition: not running.
  void Start();
  //! Precondition: running.
  void Signal(int signal);
  //! Whether the process is running. Checks with waitpid and reaps it if it has
  //! exited.
  bool running();
  pid_t pid() const { return pid_; }
  //! Of the process that ended last, as from waitpid.
  int exit_status() const { return exit_status_; }
  //! Number of starts of the process.
  int start_count() const { return start_count_; }

 private:
  std::string binary_;
  std::string name_;
  std::string callers_address_;
  std::string health_address_;
  std::string peers_address_;
  std::string metrics_address_;
  std::string settings_path_;
  std::string log_path_;
  FaultProxy store_link_;
  pid_t pid_ = 0;
  int exit_status_ = 0;
  int start_count_ = 0;
  std::function<void()> child_setup_ = [] {};
};

}  // namespace tamaracktrail

#endif  // SOAK_INSTANCE_PROCESS_H_
