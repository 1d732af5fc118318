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
  int lost_charges = 0;      //!< Every holder was killed.
  int64_t stuck_tokens = 0;  //!< In shares of exited holders at the end.
  std::map<std::string, int> faults;  //!< By kind.
  std::string violation;              //!< Empty if all guarantees held.
};

//! Runs a simulated fleet for `seconds` of simulated time with requests,
//! duplicates, retries and random faults, single or in pairs, also two of the
//! same kind; then ends all faults and checks the guarantees. A violated
//! invariant inside a state machine aborts the process. If `explanation` and
//! `key` are given, it is set to the log records of `key` and its callers'
//! results.
FleetRunReport RunFleet(uint64_t seed,
                        int seconds,
                        const std::string& key = "",
                        std::vector<std::string>* explanation = nullptr);

}  // namespace tamaracktrail

#endif  // SOAK_FLEET_RUN_H_
