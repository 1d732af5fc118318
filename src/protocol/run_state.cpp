#include "protocol/run_state.h"

namespace tamaracktrail {

const char* RunStateName(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kRan:
      return "ran";
    case RunState::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "outcome_unknown";
}

}  // namespace tamaracktrail
