#ifndef SOAK_INSTANCE_PROCESS_H_
#define SOAK_INSTANCE_PROCESS_H_

#include <sys/types.h>

#include <memory>
#include <string>

#include "state/millis.h"
#include "support/fault_proxy.h"

namespace tamaracktrail {

class EventLoop;

//! One instance as a process of its own, behind a proxy to its store.
//! Not thread-safe.
class InstanceProcess {
 public:
  InstanceProcess(EventLoop* loop,
                  const std::string& binary,
                  const std::string& folder,
                  std::string name,
                  const std::string& store_address);
  ~InstanceProcess();  //!< Kills the process.

  const std::string& name() const { return name_; }
  const std::string& callers() const { return callers_; }
  const std::string& health() const { return health_; }
  const std::string& log_path() const { return log_path_; }
  FaultProxy& store_link() { return store_link_; }

  //! Precondition: not running.
  void Start();
  //! Precondition: running.
  void Signal(int signal);
  //! Whether the process has not ended; looks each time.
  bool running();
  pid_t pid() const { return pid_; }
  //! Raised by each start.
  int incarnation() const { return incarnation_; }

 private:
  std::string binary_;
  std::string name_;
  std::string callers_;
  std::string health_;
  std::string settings_path_;
  std::string log_path_;
  FaultProxy store_link_;
  pid_t pid_ = 0;
  int incarnation_ = 0;
};

}  // namespace tamaracktrail

#endif  // SOAK_INSTANCE_PROCESS_H_
