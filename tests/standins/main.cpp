#include <glib-unix.h>
#include <glib.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <glog/logging.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "support/stand_in_engine.h"
#include "support/stand_in_log.h"
#include "support/stand_in_services.h"

namespace {

using tamaracktrail::StandInServer;

std::unique_ptr<StandInServer> MakeStandIn(const std::string& kind) {
  if (kind == "log") {
    return std::make_unique<tamaracktrail::StandInLog>();
  }
  if (kind == "list") {
    return std::make_unique<tamaracktrail::StandInInstanceList>();
  }
  if (kind == "weights") {
    return std::make_unique<tamaracktrail::StandInWeights>();
  }
  if (kind == "records") {
    return std::make_unique<tamaracktrail::StandInRecords>();
  }
  return std::make_unique<tamaracktrail::StandInEngine>(kind);
}

}  // namespace

//! Runs stand-ins until SIGTERM. Each argument is NAME:PORT, where NAME is log,
//! list, weights, records or the name of an engine, and PORT 0 chooses a free
//! port. Prints NAME PORT for each.
int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  std::vector<std::unique_ptr<StandInServer>> servers;
  for (int i = 1; i < argc; ++i) {
    const std::vector<std::string> parts = absl::StrSplit(argv[i], ':');
    int port = 0;
    if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port)) {
      std::cerr << "usage: standins NAME:PORT...\n";
      return 2;
    }
    servers.push_back(MakeStandIn(parts[0]));
    std::cout << parts[0] << " " << servers.back()->Listen(port) << std::endl;
  }
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  std::signal(SIGPIPE, SIG_IGN);
  const GSourceFunc quit = [](gpointer data) -> gboolean {
    g_main_loop_quit(static_cast<GMainLoop*>(data));
    return G_SOURCE_REMOVE;
  };
  g_unix_signal_add(SIGTERM, quit, loop);
  g_main_loop_run(loop);
  servers.clear();
  g_main_loop_unref(loop);
  return 0;
}
