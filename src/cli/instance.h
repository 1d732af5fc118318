#ifndef CLI_INSTANCE_H_
#define CLI_INSTANCE_H_

#include <memory>

#include "absl/status/status.h"

namespace tamaracktrail {

class CoordinationTask;
class EntryTask;
class Metrics;
class Settings;

//! A running instance: its tasks and their connections to each other. Use from
//! one thread.
class Instance {
 public:
  explicit Instance(const Settings& settings);
  ~Instance();

  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  absl::Status Start();

  //! Refuses new work, lets open requests end, settles, returns shares, appends
  //! what is left and stops. kDeadlineExceeded where that took too long; what
  //! is still held is then found by others through evidence of the exit.
  absl::Status Shutdown();

 private:
  struct Parts;

  std::unique_ptr<Parts> parts_;
};

}  // namespace tamaracktrail

#endif  // CLI_INSTANCE_H_
