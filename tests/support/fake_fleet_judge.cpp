#include <algorithm>

#include "absl/strings/str_cat.h"
#include "cli/record_text.h"
#include "protocol/result_info.h"
#include "state/digest.h"
#include "support/fake_fleet.h"

namespace tamaracktrail {

// Judgement.

LedgerFold FakeFleet::Observe(const std::string& organisation) const {
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

int64_t FakeFleet::Unspent(const std::string& organisation) const {
  const Budget budget = Observe(organisation).BudgetOf(organisation);
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
  for (const auto& [attempt, it] : told_) {
    if (it.key == key) {
      lines.push_back(absl::StrCat("attempt=", Hex(attempt), " done=", it.done,
                                   " code=", static_cast<int>(it.code),
                                   " run=", RunStateName(it.run_state),
                                   " runs=", it.runs));
    }
  }
  return lines;
}

FakeFleet::Judgement FakeFleet::Judge() const {
  Judgement out;
  std::map<std::pair<std::string, std::string>, std::vector<const Told*>> keys;
  for (const auto& [attempt, told] : told_) {
    keys[{told.organisation, told.key}].push_back(&told);
    const bool claims_not_run =
        told.done && told.run_state == RunState::kNotRun;
    if (claims_not_run && told.runs > 0) {
      out.violation = absl::StrCat("key ", told.key, " ran, told not_run");
    }
  }
  std::map<std::string, LedgerFold> folds;
  for (const auto& [name, tries] : keys) {
    const auto& [organisation, key] = name;
    if (!folds.contains(organisation)) {
      folds.emplace(organisation, Observe(organisation));
    }
    const KeyState state = folds.at(organisation).KeyOf(organisation, key);
    JudgeKey(key, tries, state.phase == KeyState::Phase::kCharged, out);
  }
  return out;
}

void FakeFleet::JudgeKey(const std::string& key,
                         const std::vector<const Told*>& tries,
                         bool charged,
                         Judgement& out) {
  int runs = 0;
  bool delivered = false;
  bool settling = false;
  bool lost = false;
  for (const Told* it : tries) {
    runs += it->runs;
    delivered |= it->done && it->code == ResultCode::kOk;
    // Its entry died after it handed the charge over.
    settling |= it->settling && !it->done;
    lost |= it->lost;
  }
  if (!tries.front()->repeatable && runs > 1) {
    out.violation =
        absl::StrCat("non-repeatable key ", key, " ran ", runs, " times");
  }
  if (charged && runs == 0) {
    out.violation = absl::StrCat("key ", key, " was charged and did not run");
  }
  const bool unpaid = delivered && !charged;
  const bool unserved = charged && !delivered && !settling;
  if ((unpaid || unserved) && lost) {
    ++out.lost;
  } else if (unpaid) {
    out.violation = absl::StrCat("key ", key, " was delivered, not charged");
  } else if (unserved) {
    out.violation = absl::StrCat("key ", key, " was charged, not delivered");
  }
}

}  // namespace tamaracktrail
