#ifndef CLI_RELAY_SETTINGS_H_
#define CLI_RELAY_SETTINGS_H_

#include <string>
#include <vector>

#include "protocol/setting_fault.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Settings of an instance that relays for a platform. Immutable once read.
struct RelaySettings {
  std::string instance;
  std::string data_centre;
  std::string callers_address;  //!< "ip:port", as the ones below.
  std::string health_address;
  std::string peers_address;
  std::string metrics_address;
  std::string store_address;
  int store_reads = 2000;  //!< Calls a second, of all instances.
  int store_writes = 800;  //!< The same for writing calls.
  int file_descriptors = 1024;
  double retry_ratio = 0.2;  //!< Retries a request, over all instances.
  double retry_extra = 0;    //!< More retries a window, over all instances.
  Millis grace;              //!< From the signal to stop until the kill.

  friend bool operator==(const RelaySettings&, const RelaySettings&) = default;

  //! Checks the text of a settings file; adds all that is wrong to `faults`.
  //! The result counts only where it added none. Thread-safe.
  static RelaySettings Parse(const std::string& path,
                             const std::string& text,
                             std::vector<SettingFault>* faults);
};

}  // namespace tamaracktrail

#endif  // CLI_RELAY_SETTINGS_H_
