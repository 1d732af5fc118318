#ifndef CLI_INSTANCE_H_
#define CLI_INSTANCE_H_

#include <memory>

#include "absl/status/status.h"

namespace tamaracktrail {

class CoordinationTask;
class EntryTask;
class Metrics;
class Settings;

//! An instance: owns its entry task and its coordination task and connects
//! them. Use from one thread.
class Instance {
 public:
  explicit Instance(const Settings& settings);
  ~Instance();

  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  absl::Status Start();

  //! Refuses new requests, waits for open ones, settles charges, returns
  //! shares, appends the remaining records and stops. Errors: kDeadlineExceeded
  //! if that exceeds the shutdown deadline; the other instances then recover
  //! what this one still holds once they have evidence of its exit.
  absl::Status Shutdown();

 private:
  struct Parts;

  std::unique_ptr<Parts> parts_;
};

}  // namespace tamaracktrail

#endif  // CLI_INSTANCE_H_
