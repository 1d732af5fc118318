#include "cli/server_process.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>

namespace tamaracktrail {

void SetUpServerProcess() {
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
