#include <chrono>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <glog/logging.h>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "soak/fleet_run.h"

ABSL_FLAG(int,
          seconds,
          0,
          "Start runs of further seeds until this many seconds have passed.");
ABSL_FLAG(uint64_t, seed, 1, "First seed.");
ABSL_FLAG(
    std::string,
    key,
    "",
    "Print the log records of this request key and its callers' results.");

namespace {

constexpr int kSimulatedSeconds = 60;

void Print(const tamaracktrail::FleetRunReport& it) {
  std::cout << " calls=" << it.calls << " delivered=" << it.delivered
            << " refused=" << it.refused
            << " false_refusals=" << it.false_refusals
            << " lost_charges=" << it.lost_charges
            << " stuck_tokens=" << it.stuck_tokens
            << (it.violation.empty() ? "" : " VIOLATION " + it.violation)
            << std::endl;
}

}  // namespace

//! Runs consecutive seeds until the time is up, at least one. Prints the result
//! of each seed, then the totals. Exit code 1 on a violation.
int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_WARNING;
  google::InitGoogleLogging(argv[0]);
  absl::ParseCommandLine(argc, argv);
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  const std::string key = absl::GetFlag(FLAGS_key);
  const uint64_t first = absl::GetFlag(FLAGS_seed);
  std::map<std::string, int> faults;
  uint64_t operations = 0;
  uint64_t seed = first;
  int violations = 0;
  do {
    // Printed before the run: a violated invariant aborts the process.
    std::cout << "seed=" << seed << std::flush;
    std::vector<std::string> lines;
    const tamaracktrail::FleetRunReport it =
        tamaracktrail::RunFleet(seed, kSimulatedSeconds, key, &lines);
    Print(it);
    for (const std::string& line : lines) {
      std::cout << line << "\n";
    }
    for (const auto& [kind, n] : it.faults) {
      faults[kind] += n;
    }
    operations += it.calls;
    violations += it.violation.empty() ? 0 : 1;
    ++seed;
  } while (std::chrono::steady_clock::now() < end);
  std::cout << "seeds=" << seed - first << " operations=" << operations
            << " violations=" << violations;
  for (const auto& [kind, n] : faults) {
    std::cout << " " << kind << "=" << n;
  }
  std::cout << std::endl;
  return violations == 0 ? 0 : 1;
}
