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

constexpr int64_t kRich = 40'000'000;

//! One scenario: the prepaid tokens and the faults.
struct Scenario {
  const char* name;
  int64_t prepaid;
  Millis time;
  int fault;  //!< Which faults Inject applies.
};

constexpr Scenario kScenarios[] = {
    {"no_fault", kRich, kHour, 0},
    {"partition_top_ups", 2'000'000, kHour * 2, 1},
    {"centre_cut_from_log", kRich, kHour * 2, 2},
    {"keeper_killed", 2'000'000, kHour, 3},
    {"keeper_paused", 2'000'000, kHour, 4},
    {"log_down_1h", kRich, kHour * 2, 5},
    {"near_end", 300'000, kMinute * 20, 6},
};

template <class Lab>
void Inject(Lab& lab, const Scenario& scenario) {
  const Millis start = lab.now() + kMinute * 10;
  switch (scenario.fault) {
    case 1:
      lab.At(start, [&lab] { lab.Cut(0, true); });
      for (int i = 1; i <= 6; ++i) {
        lab.At(start + kMinute * 5 * i, [&lab] { lab.TopUp(200'000); });
      }
      lab.At(start + kMinute * 40, [&lab] { lab.Cut(0, false); });
      return;
    case 2:
      lab.At(start, [&lab] { lab.Cut(1, true); });
      lab.At(start + kHour, [&lab] { lab.Cut(1, false); });
      return;
    case 3:
      for (int i = 0; i < 8; ++i) {
        lab.At(start + kMinute * 5 * i,
               [&lab, i] { lab.Kill(i % 4, kSecond * 2); });
      }
      return;
    case 4:
      for (int i = 0; i < 4; ++i) {
        const Millis at = start + kMinute * 8 * i;
        lab.At(at, [&lab, i] { lab.Pause(i, true); });
        lab.At(at + kMinute * 2, [&lab, i] { lab.Pause(i, false); });
      }
      return;
    case 5:
      lab.At(start, [&lab] { lab.SetLogDown(true); });
      lab.At(start + kHour, [&lab] { lab.SetLogDown(false); });
      return;
    default:
      return;
  }
}

template <SharePolicy Policy>
void RunScenario(const Scenario& scenario,
                 const std::string& name,
                 Policy policy) {
  typename KeeperLab<Policy>::Result sum;
  constexpr uint64_t kSeeds = 5;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    typename KeeperLab<Policy>::Options options;
    options.seed = seed;
    KeeperLab<Policy> lab(options, policy);
    lab.TopUp(scenario.prepaid);
    Inject(lab, scenario);
    lab.RunFor(scenario.time);
    const auto it = lab.Finish();
    sum.calls += it.calls;
    sum.refused += it.refused;
    sum.false_refusals += it.false_refusals;
    sum.overspend += it.overspend;
    sum.log_appends += it.log_appends;
  }
  std::cout << scenario.name << "," << name << "," << sum.calls << ","
            << sum.refused << "," << sum.false_refusals << "," << sum.overspend
            << "," << sum.log_appends << std::endl;
}

}  // namespace
}  // namespace tamaracktrail

//! Compares share policies under faults, five seeds each; prints CSV.
int main(int, char** argv) {
  using tamaracktrail::DrawEachPolicy;
  using tamaracktrail::EscrowPolicy;
  using tamaracktrail::StaticSplitPolicy;
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  constexpr tamaracktrail::Millis kCover = tamaracktrail::kMinute * 90;
  std::cout << "scenario,policy,calls,refused,false_refusals,overspend,"
               "appends"
            << std::endl;
  for (const auto& scenario : tamaracktrail::kScenarios) {
    tamaracktrail::RunScenario(scenario, "static_split", StaticSplitPolicy());
    tamaracktrail::RunScenario(scenario, "draw_each", DrawEachPolicy());
    for (const double hold : {0.0, 0.25, 0.5, 0.75, 1.0}) {
      tamaracktrail::RunScenario(
          scenario, "escrow_hold_" + std::to_string(hold).substr(0, 4),
          EscrowPolicy(hold, kCover));
    }
  }
  return 0;
}
