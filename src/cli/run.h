#ifndef CLI_RUN_H_
#define CLI_RUN_H_

#include <span>

namespace tamaracktrail {

struct Command;

//! Runs the command that the program's arguments name and returns the exit code
//! of the process. Call it once, from `main`.
int RunCommand(int argc, char** argv, std::span<const Command> commands);

}  // namespace tamaracktrail

#endif  // CLI_RUN_H_
