#ifndef PROTOCOL_RUN_STATE_H_
#define PROTOCOL_RUN_STATE_H_

namespace tamaracktrail {

//! Whether a request has run, as reported to its caller.
enum class RunState {
  //! No endpoint ran it: none was reached, or each that was reached refused it.
  kNotRun,
  kRan,             //!< It ran.
  kOutcomeUnknown,  //!< It may have run.
};

//! Name that is used in answers: "not_run", "ran" or "outcome_unknown".
const char* RunStateName(RunState state);

}  // namespace tamaracktrail

#endif  // PROTOCOL_RUN_STATE_H_
