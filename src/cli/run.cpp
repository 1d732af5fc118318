#include "cli/run.h"

#include <cstring>
#include <iostream>

#include <glog/logging.h>

#include "absl/flags/parse.h"
#include "cli/command.h"
#include "cli/exit_code.h"

namespace tamaracktrail {

namespace {

int PrintUsage(std::ostream& out,
               std::span<const Command> commands,
               ExitCode code) {
  out << "usage: tamaracktrail COMMAND ...\n";
  for (const Command& it : commands) {
    out << "  " << it.synopsis << "\n";
  }
  return static_cast<int>(code);
}

const Command* FindCommand(std::span<const Command> commands,
                           const std::string& name) {
  for (const Command& it : commands) {
    if (name == it.name) {
      return &it;
    }
  }
  return nullptr;
}

//! Logs go to stderr, one line per event. glog's flags are set here and can't
//! be given on the command line.
void SetUpLogging(const char* program) {
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(program);
}

}  // namespace

int RunCommand(int argc, char** argv, std::span<const Command> commands) {
  if (argc < 2) {
    return PrintUsage(std::cerr, commands, ExitCode::kBadInput);
  }
  const Command* command = FindCommand(commands, argv[1]);
  if (command == nullptr) {
    const bool help_requested = std::strcmp(argv[1], "--help") == 0;
    return help_requested
               ? PrintUsage(std::cout, commands, ExitCode::kOk)
               : PrintUsage(std::cerr, commands, ExitCode::kBadInput);
  }
  for (int i = 2; i < argc; ++i) {
    if (std::strcmp(argv[i], "--help") == 0) {
      std::cout << "usage: tamaracktrail " << command->synopsis << "\n"
                << command->help << "\n";
      return static_cast<int>(ExitCode::kOk);
    }
  }
  SetUpLogging(argv[0]);
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  Command::Arguments arguments(positional.begin() + 2, positional.end());
  if (arguments.size() < command->min_arguments ||
      arguments.size() > command->max_arguments) {
    std::cerr << "usage: tamaracktrail " << command->synopsis << "\n";
    return static_cast<int>(ExitCode::kBadInput);
  }
  return static_cast<int>(command->run(arguments));
}

}  // namespace tamaracktrail
