#include <algorithm>

#include "absl/strings/str_cat.h"
#include "cli/record_text.h"
#include "protocol/result_info.h"
#include "state/digest.h"
#include "support/fake_fleet.h"

namespace tamaracktrail {

LedgerFold FakeFleet::FoldLedger(const std::string& organisation) const {
  const uint32_t shard = static_cast<uint32_t>(StableHash(organisation) %
                                               options_.coordinator.shards);
  StreamView<LedgerFold> view(
      &codec_, LedgerFold(options_.coordinator.ledger.key_window));
  auto it = log_.streams().find(LedgerShard::StreamName(shard));
  if (it != log_.streams().end()) {
    for (const LogEntry& entry : it->second) {
      view.Feed(entry);
    }
  }
  return view.fold();
}

int64_t FakeFleet::UnspentTokens(const std::string& organisation) const {
  const Budget budget = FoldLedger(organisation).BudgetOf(organisation);
  return budget.prepaid - budget.charged;
}

std::vector<std::string> FakeFleet::Explain(const std::string& key) const {
  std::vector<std::string> lines;
  for (const auto& [stream, entries] : log_.streams()) {
    StreamView<LedgerFold> view(
        &codec_, LedgerFold(options_.coordinator.ledger.key_window));
    for (const LogEntry& entry : entries) {
      for (const AppliedBatch& it : view.Feed(entry)) {
        for (size_t i = 0; i < it.verdicts.size(); ++i) {
          const Record& record = it.batch.records[i];
          const bool release = std::holds_alternative<Release>(record);
          if (RecordKey(record) == key || release) {
            lines.push_back(absl::StrCat(
                (it.batch.wall - kWallStart).count(), " ", stream, "@",
                it.offset, " writer=", Hex(it.batch.writer), " ",
                RecordText(record), " ", FoldVerdictName(it.verdicts[i])));
          }
        }
      }
    }
  }
  for (const auto& [attempt, it] : outcomes_) {
    if (it.key == key) {
      lines.push_back(absl::StrCat("attempt=", Hex(attempt), " done=", it.done,
                                   " code=", static_cast<int>(it.code),
                                   " run=", RunStateName(it.run_state),
                                   " runs=", it.runs));
    }
  }
  return lines;
}

FakeFleet::CheckResult FakeFleet::Check() const {
  CheckResult out;
  std::map<std::pair<std::string, std::string>, std::vector<const CallOutcome*>>
      keys;
  for (const auto& [attempt, outcome] : outcomes_) {
    keys[{outcome.organisation, outcome.key}].push_back(&outcome);
    const bool claims_not_run =
        outcome.done && outcome.run_state == RunState::kNotRun;
    if (claims_not_run && outcome.runs > 0) {
      out.violation = absl::StrCat("key ", outcome.key,
                                   " ran and its caller got run state not_run");
    }
  }
  std::map<std::string, LedgerFold> folds;
  for (const auto& [name, attempts] : keys) {
    const auto& [organisation, key] = name;
    if (!folds.contains(organisation)) {
      folds.emplace(organisation, FoldLedger(organisation));
    }
    const KeyState state = folds.at(organisation).KeyOf(organisation, key);
    CheckKey(key, attempts, state.phase == KeyState::Phase::kCharged, out);
  }
  return out;
}

void FakeFleet::CheckKey(const std::string& key,
                         const std::vector<const CallOutcome*>& attempts,
                         bool charged,
                         CheckResult& out) {
  int runs = 0;
  bool delivered = false;
  bool killed_while_settling = false;
  bool charge_lost = false;
  for (const CallOutcome* it : attempts) {
    runs += it->runs;
    delivered |= it->done && it->code == ResultCode::kOk;
    // The entry was killed after it had passed the charge to the coordinator.
    killed_while_settling |= it->settle_requested && !it->done;
    charge_lost |= it->charge_lost;
  }
  if (!attempts.front()->repeatable && runs > 1) {
    out.violation =
        absl::StrCat("non-repeatable key ", key, " ran ", runs, " times");
  }
  if (charged && runs == 0) {
    out.violation = absl::StrCat("key ", key, " was charged and did not run");
  }
  const bool uncharged = delivered && !charged;
  const bool undelivered = charged && !delivered && !killed_while_settling;
  if ((uncharged || undelivered) && charge_lost) {
    ++out.lost_charges;
  } else if (uncharged) {
    out.violation = absl::StrCat("key ", key, " was delivered, not charged");
  } else if (undelivered) {
    out.violation = absl::StrCat("key ", key, " was charged, not delivered");
  }
}

}  // namespace tamaracktrail
