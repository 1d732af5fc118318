#ifndef CLI_RELAY_SETTINGS_H_
#define CLI_RELAY_SETTINGS_H_

#include <map>
#include <string>
#include <vector>

#include "coordination/cold_endpoints.h"
#include "coordination/retry_budgets.h"
#include "protocol/setting_fault.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Settings of an instance that relays requests on a platform. Immutable after
//! parsing.
struct RelaySettings {
  std::string instance;
  std::string data_centre;
  std::map<std::string, std::string> regions;  //!< By data centre.
  std::string callers_address;  //!< "ip:port", like all addresses below.
  std::string health_address;
  std::string peers_address;
  std::string metrics_address;
  std::string store_address;
  int store_reads_per_s = 2000;  //!< Reading calls of all instances together.
  int store_writes_per_s = 800;  //!< Writing calls of all instances together.
  int file_descriptors = 1024;
  double link_mbps = 0;  //!< Width of the own link; 0 if unknown.
  int memory_mb = 512;   //!< Of the machine, for this process.
  RetryBudgets::Limits retries;
  ColdEndpoints::Bounds cold_start;
  bool first_start = false;  //!< The whole fleet starts for the first time.
  //! From the stop signal until the platform kills the process.
  Millis grace_period;

  friend bool operator==(const RelaySettings&, const RelaySettings&) = default;

  //! Parses and validates the text of a settings file; `path` names it in the
  //! faults. Adds each fault to `faults`; the result is valid only if there
  //! were none. Thread-safe.
  static RelaySettings Parse(const std::string& path,
                             const std::string& text,
                             std::vector<SettingFault>* faults);
};

}  // namespace tamaracktrail

#endif  // CLI_RELAY_SETTINGS_H_
