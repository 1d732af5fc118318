#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include <glog/logging.h>

#include "bench/keeper_harness.h"
#include "coordination/draw_each_policy.h"
#include "coordination/escrow_policy.h"
#include "coordination/static_split_policy.h"

namespace tamaracktrail {
namespace {

constexpr int64_t kAmplePrepaid = 40'000'000;

//! Prepaid tokens, duration and injected faults of one scenario.
struct Scenario {
  const char* name;
  int64_t prepaid;
  Millis duration;
  int fault;  //!< Number of the case in InjectFaults; 0 for none.
};

constexpr Scenario kScenarios[] = {
    {"no_fault", kAmplePrepaid, kHour, 0},
    {"partition_top_ups", 2'000'000, kHour * 2, 1},
    {"centre_cut_from_log", kAmplePrepaid, kHour * 2, 2},
    {"keeper_killed", 2'000'000, kHour, 3},
    {"keeper_paused", 2'000'000, kHour, 4},
    {"log_down_1h", kAmplePrepaid, kHour * 2, 5},
    {"near_end", 300'000, kMinute * 20, 6},
};

template <class Harness>
void InjectFaults(Harness& harness, const Scenario& scenario) {
  const Millis fault_start = harness.now() + kMinute * 10;
  switch (scenario.fault) {
    case 1:
      harness.At(fault_start, [&harness] { harness.SetPartitioned(0, true); });
      for (int i = 1; i <= 6; ++i) {
        harness.At(fault_start + kMinute * 5 * i,
                   [&harness] { harness.TopUp(200'000); });
      }
      harness.At(fault_start + kMinute * 40,
                 [&harness] { harness.SetPartitioned(0, false); });
      return;
    case 2:
      harness.At(fault_start, [&harness] { harness.SetPartitioned(1, true); });
      harness.At(fault_start + kHour,
                 [&harness] { harness.SetPartitioned(1, false); });
      return;
    case 3:
      for (int i = 0; i < 8; ++i) {
        harness.At(fault_start + kMinute * 5 * i,
                   [&harness, i] { harness.Kill(i % 4, kSecond * 2); });
      }
      return;
    case 4:
      for (int i = 0; i < 4; ++i) {
        const Millis pause_start = fault_start + kMinute * 8 * i;
        harness.At(pause_start, [&harness, i] { harness.SetPaused(i, true); });
        harness.At(pause_start + kMinute * 2,
                   [&harness, i] { harness.SetPaused(i, false); });
      }
      return;
    case 5:
      harness.At(fault_start, [&harness] { harness.SetLogDown(true); });
      harness.At(fault_start + kHour,
                 [&harness] { harness.SetLogDown(false); });
      return;
    default:
      return;
  }
}

template <SharePolicy Policy>
void RunScenario(const Scenario& scenario,
                 const std::string& name,
                 Policy policy) {
  typename KeeperHarness<Policy>::Result total;
  constexpr uint64_t kSeeds = 5;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    typename KeeperHarness<Policy>::Options options;
    options.seed = seed;
    KeeperHarness<Policy> harness(options, policy);
    harness.TopUp(scenario.prepaid);
    InjectFaults(harness, scenario);
    harness.RunFor(scenario.duration);
    const auto result = harness.Finish();
    total.calls += result.calls;
    total.refused += result.refused;
    total.false_refusals += result.false_refusals;
    total.overspend += result.overspend;
    total.log_appends += result.log_appends;
  }
  std::cout << scenario.name << "," << name << "," << total.calls << ","
            << total.refused << "," << total.false_refusals << ","
            << total.overspend << "," << total.log_appends << std::endl;
}

}  // namespace
}  // namespace tamaracktrail

//! Compares share policies under faults. Prints one CSV row per scenario and
//! policy with the sums over five seeds.
int main(int, char** argv) {
  using tamaracktrail::DrawEachPolicy;
  using tamaracktrail::EscrowPolicy;
  using tamaracktrail::StaticSplitPolicy;
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  constexpr tamaracktrail::Millis kDemandCover = tamaracktrail::kMinute * 90;
  std::cout << "scenario,policy,calls,refused,false_refusals,overspend,"
               "appends"
            << std::endl;
  for (const auto& scenario : tamaracktrail::kScenarios) {
    tamaracktrail::RunScenario(scenario, "static_split", StaticSplitPolicy());
    tamaracktrail::RunScenario(scenario, "draw_each", DrawEachPolicy());
    for (const double hold : {0.0, 0.25, 0.5, 0.75, 1.0}) {
      tamaracktrail::RunScenario(
          scenario, "escrow_hold_" + std::to_string(hold).substr(0, 4),
          EscrowPolicy(hold, kDemandCover));
    }
  }
  return 0;
}
