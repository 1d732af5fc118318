#include <chrono>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <glog/logging.h>

#include "absl/strings/numbers.h"
#include "soak/fleet_run.h"

namespace {

using Lines = std::vector<std::string>;

}  // namespace

//! soak SECONDS [SEED [KEY]]: runs seeds from SEED on until SECONDS have
//! passed, at least one. Prints each seed, then the sums. With KEY only SEED is
//! run, and what the log says of the key is shown. Exit code 1 on a violation.
int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_WARNING;
  google::InitGoogleLogging(argv[0]);
  int seconds = 0;
  uint64_t seed = 1;
  const bool sound = argc >= 2 && absl::SimpleAtoi(argv[1], &seconds) &&
                     (argc < 3 || absl::SimpleAtoi(argv[2], &seed));
  if (!sound) {
    std::cerr << "usage: soak SECONDS [SEED [KEY]]\n";
    return 2;
  }
  constexpr int kSimulatedSeconds = 60;
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
  std::map<std::string, int> faults;
  uint64_t operations = 0;
  uint64_t seeds = 0;
  int violations = 0;
  do {
    // Printed first: a broken invariant stops the process.
    std::cout << "seed=" << seed << std::flush;
    Lines lines;
    const tamaracktrail::FleetRunReport it = tamaracktrail::RunFleet(
        seed, kSimulatedSeconds, argc > 3 ? argv[3] : "", &lines);
    for (const std::string& line : argc > 3 ? lines : Lines()) {
      std::cout << "\n" << line;
    }
    std::cout << " calls=" << it.calls << " delivered=" << it.delivered
              << " refused=" << it.refused
              << " false_refusals=" << it.false_refusals
              << " lost_charges=" << it.lost_charges
              << " stuck_tokens=" << it.stuck_tokens
              << (it.violation.empty() ? "" : " VIOLATION " + it.violation)
              << std::endl;
    for (const auto& [kind, n] : it.faults) {
      faults[kind] += n;
    }
    operations += it.calls;
    violations += it.violation.empty() ? 0 : 1;
    ++seed;
    ++seeds;
  } while (argc <= 3 && std::chrono::steady_clock::now() < end);
  std::cout << "seeds=" << seeds << " operations=" << operations
            << " violations=" << violations;
  for (const auto& [kind, n] : faults) {
    std::cout << " " << kind << "=" << n;
  }
  std::cout << std::endl;
  return violations == 0 ? 0 : 1;
}
