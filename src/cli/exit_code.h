#ifndef CLI_EXIT_CODE_H_
#define CLI_EXIT_CODE_H_

namespace tamaracktrail {

//! Exit codes of the program, listed in docs/operators/commands.md.
enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,           //!< Any other failure.
  kBadInput = 2,         //!< Invalid arguments, settings or declarations.
  kConflict = 3,         //!< Another configuration was published first.
  kUnconfirmed = 4,      //!< Not confirmed by the log; safe to repeat.
  kUncleanShutdown = 5,  //!< The shutdown exceeded its deadline.
  kAuditFailed = 6,      //!< The audit found inconsistent records.
};

}  // namespace tamaracktrail

#endif  // CLI_EXIT_CODE_H_
