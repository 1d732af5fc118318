#ifndef SOAK_FLEET_RUN_H_
#define SOAK_FLEET_RUN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamaracktrail {

//! Result of one randomised run.
struct FleetRunReport {
  uint64_t seed = 0;
  uint64_t calls = 0;
  uint64_t delivered = 0;
  uint64_t refused = 0;
  uint64_t false_refusals = 0;
  int lost_charges = 0;      //!< With every instance that held them.
  int64_t stuck_tokens = 0;  //!< In shares of exited holders at the end.
  std::map<std::string, int> faults;  //!< By kind.
  std::string violation;              //!< Empty where every promise held.
};

//! Drives a fleet for `seconds` of simulated time with requests, duplicates,
//! retries, and faults drawn singly, in pairs and twice; then heals it and
//! judges. Invariants inside the state machines stop the process.
//! Adds to `explanation`, where it is given, what the log says of `key`.
FleetRunReport RunFleet(uint64_t seed,
                        int seconds,
                        const std::string& key = "",
                        std::vector<std::string>* explanation = nullptr);

}  // namespace tamaracktrail

#endif  // SOAK_FLEET_RUN_H_
