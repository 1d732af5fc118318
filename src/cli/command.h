#ifndef CLI_COMMAND_H_
#define CLI_COMMAND_H_

#include <span>
#include <string>
#include <vector>

#include "cli/exit_code.h"

namespace tamaracktrail {

//! One subcommand of the program. Immutable.
struct Command {
  using Arguments = std::vector<std::string>;

  const char* name = "";
  const char* synopsis = "";
  const char* help = "";
  size_t min_arguments = 0;
  size_t max_arguments = 0;
  ExitCode (*run)(const Arguments& arguments) = nullptr;
};

//! All subcommands. Thread-safe.
std::span<const Command> AllCommands();

}  // namespace tamaracktrail

#endif  // CLI_COMMAND_H_
