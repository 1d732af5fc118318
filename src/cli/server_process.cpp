#include "cli/server_process.h"

#include <csignal>

namespace tamaracktrail {

void SetUpServerProcess() {
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace tamaracktrail
