#ifndef SOAK_PROCESS_RUN_H_
#define SOAK_PROCESS_RUN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state/millis.h"

namespace tamaracktrail {

struct ProcessRunOptions {
  std::string binary;  //!< The program under test.
  std::string folder;  //!< For settings and logs; must exist.
  uint64_t seed = 1;
  Millis fault_time{10000};  //!< Time during which faults are injected.
  int instances = 4;
};

//! Answers, faults and violations of a run.
struct ProcessRunReport {
  uint64_t requests = 0;
  std::map<int, int> answers;         //!< By status; 0 for no complete answer.
  std::map<std::string, int> faults;  //!< By kind.
  std::vector<std::string> violations;
};

//! Runs instances as separate processes, with stand-ins for the store and the
//! endpoints, injects faults with signals, proxies and the stand-ins, and
//! checks the guarantees during the run and at its end. The seed determines the
//! order and times of the faults, but the timing of the processes varies. Ends
//! all processes that it started.
ProcessRunReport RunProcesses(const ProcessRunOptions& options);

}  // namespace tamaracktrail

#endif  // SOAK_PROCESS_RUN_H_
