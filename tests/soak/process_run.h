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
  std::string folder;  //!< For settings and logs; exists.
  uint64_t seed = 1;
  Millis length{10000};
  int instances = 4;
};

//! What callers and endpoints saw in a run.
struct ProcessRunReport {
  uint64_t requests = 0;
  std::map<int, int> answers;         //!< By status; 0: connection ended.
  std::map<std::string, int> faults;  //!< By kind.
  std::vector<std::string> violations;
};

//! Runs instances as processes of their own between stand-ins, harms them from
//! outside with signals, proxies and a store that misbehaves, and checks the
//! promises meanwhile and at the end. The seed decides which faults come when;
//! the processes take their own time. Ends all that it started.
ProcessRunReport RunProcesses(const ProcessRunOptions& options);

}  // namespace tamaracktrail

#endif  // SOAK_PROCESS_RUN_H_
