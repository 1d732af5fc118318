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
  uint64_t refused = 0;  //!< Calls that ended with run state kNotRun.
  //! Refused for the budget although the unspent tokens cover the worst case.
  uint64_t false_refusals = 0;
  //! Keys whose charge or void record was lost because instances were killed.
  int lost_charges = 0;
  //! Largest number of tokens that an instance counts in shares of exited
  //! holders, at the end.
  int64_t stuck_tokens = 0;
  std::map<std::string, int> faults;  //!< By kind.
  std::string violation;              //!< Empty if all guarantees held.
};

//! Runs a simulated fleet for `seconds` of simulated time with requests,
//! retries, concurrent duplicates and random faults, injected one or two at a
//! time; then ends all faults and checks the guarantees. A violated
//! invariant inside a state machine aborts the process. If `explanation` and
//! `key` are given, it is set to the log records of `key` and its callers'
//! results.
FleetRunReport RunFleet(uint64_t seed,
                        int seconds,
                        const std::string& key = "",
                        std::vector<std::string>* explanation = nullptr);

}  // namespace tamaracktrail

#endif  // SOAK_FLEET_RUN_H_
