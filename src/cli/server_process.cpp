#include "cli/server_process.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>

namespace tamaracktrail {

namespace {

//! Opens /dev/null in place of standard descriptors that the parent closed.
//! Otherwise the next files and sockets get their numbers.
void OpenStandardDescriptors() {
  // An opened file gets the lowest free number.
  for (const int it : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (fcntl(it, F_GETFD) < 0) {
      open("/dev/null", it == STDIN_FILENO ? O_RDONLY : O_WRONLY);
    }
  }
}

}  // namespace

void SetUpServerProcess() {
  OpenStandardDescriptors();
  std::signal(SIGPIPE, SIG_IGN);
}

int RaiseDescriptorLimit(int wanted) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return wanted;
  }
  const auto needed = static_cast<rlim_t>(wanted);
  if (limit.rlim_cur < needed) {
    const rlimit raised{std::min(needed, limit.rlim_max), limit.rlim_max};
    if (setrlimit(RLIMIT_NOFILE, &raised) == 0) {
      limit = raised;
    }
  }
  return static_cast<int>(std::min(needed, limit.rlim_cur));
}

}  // namespace tamaracktrail
