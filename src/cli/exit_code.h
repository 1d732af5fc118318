#ifndef CLI_EXIT_CODE_H_
#define CLI_EXIT_CODE_H_

namespace tamaracktrail {

//! Exit codes of the program; docs/operators/commands.md has the table.
enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,       //!< The command could not do what it was asked.
  kBadInput = 2,     //!< Arguments, settings or declarations are at fault.
  kConflict = 3,     //!< Another configuration came first.
  kUnconfirmed = 4,  //!< The log did not confirm; repeating it is safe.
  kUnclean = 5,      //!< A shutdown passed its deadline.
  kTampered = 6,     //!< The audit found records that do not add up.
};

}  // namespace tamaracktrail

#endif  // CLI_EXIT_CODE_H_
