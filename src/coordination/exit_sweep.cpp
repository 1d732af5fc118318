#include "coordination/exit_sweep.h"

#include <algorithm>

namespace tamaracktrail {

void ExitSweep::Start(uint64_t exited) {
  sweeps_.try_emplace(exited);
}

void ExitSweep::OnReport(const OrphanReport& report) {
  auto it = sweeps_.find(report.holder);
  if (it == sweeps_.end()) {
    return;
  }
  it->second.reporters.insert(report.reporter);
  for (const KeptShare& kept : report.kept) {
    KeptShare& known = it->second.kept[kept.attempt];
    const int64_t tokens = std::max(known.tokens, kept.tokens);
    known = kept;
    known.tokens = tokens;
  }
}

void ExitSweep::OnTick(Millis now,
                       std::span<const uint64_t> members,
                       Outbox& outbox) {
  for (auto& [exited, sweep] : sweeps_) {
    if (sweep.queried && now < sweep.queried_at + kQueryInterval) {
      continue;
    }
    sweep.queried = true;
    sweep.queried_at = now;
    for (const uint64_t member : members) {
      if (member != exited && !sweep.reporters.contains(member)) {
        outbox.Send(member, OrphanQuery{exited});
      }
    }
  }
}

std::vector<ExitSweep::CompletedSweep> ExitSweep::TakeCompletedSweeps(
    std::span<const uint64_t> members) {
  std::vector<CompletedSweep> complete;
  for (auto it = sweeps_.begin(); it != sweeps_.end();) {
    const uint64_t exited = it->first;
    const Sweep& sweep = it->second;
    const bool all_reported =
        std::all_of(members.begin(), members.end(), [&](uint64_t member) {
          return member == exited || sweep.reporters.contains(member);
        });
    if (!all_reported) {
      ++it;
      continue;
    }
    CompletedSweep out{exited, {}};
    for (const auto& [attempt, kept] : sweep.kept) {
      out.kept.push_back(kept);
    }
    complete.push_back(std::move(out));
    it = sweeps_.erase(it);
  }
  return complete;
}

}  // namespace tamaracktrail
