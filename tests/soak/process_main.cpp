#include <glib.h>
#include <glib/gstdio.h>
#include <glog/logging.h>

#include <csignal>
#include <filesystem>
#include <iostream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "soak/process_run.h"

ABSL_FLAG(std::string, binary, "build/tamaracktrail", "Program under test.");
ABSL_FLAG(uint64_t, seed, 1, "First seed.");
ABSL_FLAG(int, runs, 1, "Number of consecutive seeds to run.");
ABSL_FLAG(int, seconds, 10, "Seconds during which a run injects faults.");
ABSL_FLAG(int, instances, 4, "Number of instances under test.");
ABSL_FLAG(std::string,
          logs,
          "",
          "Folder for settings and logs; not deleted after a run. Default: a "
          "temporary folder, deleted after a run without violations.");

//! Runs consecutive seeds and prints the result of each. Exit code 1 on a
//! violation.
int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_WARNING;
  google::InitGoogleLogging(argv[0]);
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  int violations = 0;
  for (int i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
    tamaracktrail::ProcessRunOptions options;
    options.binary = absl::GetFlag(FLAGS_binary);
    options.seed = absl::GetFlag(FLAGS_seed) + i;
    options.fault_time =
        tamaracktrail::Millis(absl::GetFlag(FLAGS_seconds) * 1000);
    options.instances = absl::GetFlag(FLAGS_instances);
    std::string folder = absl::GetFlag(FLAGS_logs);
    if (folder.empty()) {
      folder = absl::StrCat(g_get_tmp_dir(), "/soak-", getpid());
    }
    options.folder = absl::StrCat(folder, "/seed-", options.seed);
    PCHECK(g_mkdir_with_parents(options.folder.c_str(), 0755) == 0);
    const tamaracktrail::ProcessRunReport report =
        tamaracktrail::RunProcesses(options);
    std::cout << "seed=" << options.seed << " requests=" << report.requests;
    for (const auto& [status, n] : report.answers) {
      std::cout << " " << status << ":" << n;
    }
    std::cout << " faults";
    for (const auto& [kind, n] : report.faults) {
      std::cout << " " << kind << ":" << n;
    }
    std::cout << " violations=" << report.violations.size() << std::endl;
    for (const std::string& it : report.violations) {
      std::cout << "VIOLATION seed=" << options.seed << " " << it
                << " (logs in " << options.folder << ")" << std::endl;
    }
    violations += static_cast<int>(report.violations.size());
    if (report.violations.empty() && absl::GetFlag(FLAGS_logs).empty()) {
      std::filesystem::remove_all(options.folder);
    }
  }
  return violations == 0 ? 0 : 1;
}
