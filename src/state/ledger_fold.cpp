#include "state/ledger_fold.h"

#include <algorithm>
#include <utility>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/unordered_map.hpp>
#include <cereal/types/utility.hpp>

#include <glog/logging.h>

#include "state/digest.h"
#include "state/request_key.h"

namespace tamaracktrail {

namespace {

//! Seed of the hash in the second half of a KeyId.
constexpr uint64_t kSecondHashSeed = 1;

}  // namespace

FoldVerdict LedgerFold::Apply(const Record& record,
                              const FoldContext& context) {
  clock_.Advance(context.wall);
  return std::visit([&](const auto& it) { return On(it, context); }, record);
}

const Budget& LedgerFold::BudgetOf(const std::string& organisation) const {
  static const Budget kNone;
  auto it = budgets_.find(organisation);
  return it == budgets_.end() ? kNone : it->second;
}

KeyState LedgerFold::KeyOf(const std::string& organisation,
                           const std::string& key) const {
  return Lookup(IdOf(organisation, key));
}

bool LedgerFold::KeyTooOld(const std::string& key, Millis wall) const {
  const std::optional<Millis> time = RequestKeyTime(key);
  return time.has_value() && *time + key_window_ <= std::max(wall, now());
}

int64_t LedgerFold::TokensHeldBy(uint64_t holder) const {
  auto it = held_.find(holder);
  return it == held_.end() ? 0 : it->second;
}

void LedgerFold::AddToShare(Budget& budget, uint64_t holder, int64_t tokens) {
  budget.AddToShare(holder, tokens);
  int64_t& held = held_[holder];
  held += tokens;
  if (held == 0) {
    held_.erase(holder);
  }
}

std::map<std::string, int64_t> LedgerFold::SharesOf(uint64_t holder) const {
  std::map<std::string, int64_t> shares;
  for (const auto& [organisation, budget] : budgets_) {
    if (const int64_t n = budget.Share(holder); n > 0) {
      shares[organisation] = n;
    }
  }
  return shares;
}

void LedgerFold::Trim() {
  std::erase_if(keys_, [this](const auto& it) { return Expired(it.second); });
  const auto is_expired = [this](const auto& it) {
    return it.second + key_window_ < now();
  };
  std::erase_if(abandoned_attempts_, is_expired);
  std::erase_if(voided_attempts_, is_expired);
}

template <class Archive>
void LedgerFold::serialize(Archive& archive) {
  archive(clock_, budgets_, held_, keys_, top_up_ids_, abandoned_attempts_,
          voided_attempts_, released_, fenced_);
}

template void LedgerFold::serialize(cereal::PortableBinaryOutputArchive&);
template void LedgerFold::serialize(cereal::PortableBinaryInputArchive&);

FoldVerdict LedgerFold::On(const TopUp& record, const FoldContext&) {
  if (record.tokens <= 0) {
    return FoldVerdict::kNotApplicable;
  }
  if (!top_up_ids_.insert(record.organisation + "\n" + record.id).second) {
    return FoldVerdict::kRepeat;
  }
  Budget& budget = budgets_[record.organisation];
  budget.prepaid += record.tokens;
  budget.undrawn += record.tokens;
  budget.CheckInvariant();
  return FoldVerdict::kAccepted;
}

FoldVerdict LedgerFold::On(const Draw& record, const FoldContext&) {
  if (released_.contains(record.holder)) {
    return FoldVerdict::kHolderExited;
  }
  auto it = budgets_.find(record.organisation);
  if (it == budgets_.end() || record.tokens <= 0) {
    return FoldVerdict::kNotApplicable;
  }
  Budget& budget = it->second;
  const int64_t granted = std::min(record.tokens, budget.undrawn);
  budget.undrawn -= granted;
  AddToShare(budget, record.holder, granted);
  budget.CheckInvariant();
  return granted > 0 ? FoldVerdict::kAccepted : FoldVerdict::kLostRace;
}

FoldVerdict LedgerFold::On(const Return& record, const FoldContext& context) {
  // Other instances account for the tokens that a released holder still has,
  // so a late return by the holder itself must not remove them.
  if (released_.contains(record.holder) && context.writer == record.holder) {
    return FoldVerdict::kHolderExited;
  }
  auto it = budgets_.find(record.organisation);
  if (it == budgets_.end() || record.tokens <= 0) {
    return FoldVerdict::kNotApplicable;
  }
  Budget& budget = it->second;
  if (record.tokens > budget.Share(record.holder)) {
    return FoldVerdict::kExceedsShare;
  }
  AddToShare(budget, record.holder, -record.tokens);
  budget.undrawn += record.tokens;
  budget.CheckInvariant();
  return FoldVerdict::kAccepted;
}

FoldVerdict LedgerFold::On(const ShareRequest&, const FoldContext&) {
  return FoldVerdict::kAccepted;
}

FoldVerdict LedgerFold::On(const Charge& record, const FoldContext& context) {
  const KeyId id = IdOf(record.organisation, record.key);
  KeyState state = Lookup(id);
  if (voided_attempts_.contains(record.attempt)) {
    return FoldVerdict::kLostRace;
  }
  if (!IsValid(record, context)) {
    return FoldVerdict::kHolderExited;
  }
  if (state.phase == KeyState::Phase::kCharged) {
    if (state.attempt != record.attempt && state.fallback_attempt == 0) {
      keys_[id].fallback_attempt = record.attempt;
      keys_[id].fallback_tokens = record.tokens;
    }
    return FoldVerdict::kRepeat;
  }
  auto it = budgets_.find(record.organisation);
  if (it == budgets_.end() || record.tokens < 0) {
    return FoldVerdict::kNotApplicable;
  }
  Budget& budget = it->second;
  if (record.tokens > budget.Share(record.holder)) {
    return FoldVerdict::kExceedsShare;
  }
  if (auto released = released_.find(record.holder);
      released != released_.end()) {
    released->second.erase(record.attempt);
  }
  AddToShare(budget, record.holder, -record.tokens);
  budget.charged += record.tokens;
  budget.CheckInvariant();
  state.phase = KeyState::Phase::kCharged;
  state.attempt = record.attempt;
  state.tokens = record.tokens;
  state.last_seen = now();
  keys_[id] = state;
  return FoldVerdict::kAccepted;
}

FoldVerdict LedgerFold::On(const RunClaim& record, const FoldContext&) {
  if (abandoned_attempts_.contains(record.attempt)) {
    return FoldVerdict::kLostRace;
  }
  const KeyId id = IdOf(record.organisation, record.key);
  KeyState state = Lookup(id);
  if (state.phase != KeyState::Phase::kNone) {
    return state.attempt == record.attempt ? FoldVerdict::kRepeat
                                           : FoldVerdict::kLostRace;
  }
  state.phase = KeyState::Phase::kClaimed;
  state.attempt = record.attempt;
  state.non_repeatable = true;
  state.never_expires = !RequestKeyTime(record.key).has_value();
  state.last_seen = now();
  keys_[id] = state;
  return FoldVerdict::kAccepted;
}

FoldVerdict LedgerFold::On(const Abandon& record, const FoldContext&) {
  abandoned_attempts_[record.attempt] = now();
  const KeyId id = IdOf(record.organisation, record.key);
  const KeyState state = Lookup(id);
  if (state.phase != KeyState::Phase::kClaimed ||
      state.attempt != record.attempt) {
    return FoldVerdict::kRepeat;
  }
  keys_.erase(id);
  return FoldVerdict::kAccepted;
}

FoldVerdict LedgerFold::On(const Outcome& record, const FoldContext&) {
  const KeyId id = IdOf(record.organisation, record.key);
  KeyState state = Lookup(id);
  if (state.attempt != record.attempt ||
      state.phase != KeyState::Phase::kClaimed) {
    return FoldVerdict::kRepeat;
  }
  state.phase = KeyState::Phase::kDone;
  state.code = record.code;
  state.last_seen = now();
  keys_[id] = state;
  return FoldVerdict::kAccepted;
}

FoldVerdict LedgerFold::On(const Run&, const FoldContext&) {
  return FoldVerdict::kAccepted;
}

FoldVerdict LedgerFold::On(const Refusal&, const FoldContext&) {
  return FoldVerdict::kAccepted;
}

FoldVerdict LedgerFold::On(const Release& record, const FoldContext&) {
  std::map<uint64_t, int64_t>& attempts = released_[record.holder];
  attempts.clear();
  for (const KeptShare& it : record.kept) {
    attempts[it.attempt] = it.tokens;
  }
  for (const auto& [organisation, share] : SharesOf(record.holder)) {
    int64_t kept = 0;
    for (const KeptShare& it : record.kept) {
      kept += it.organisation == organisation ? it.tokens : 0;
    }
    const int64_t freed = share - std::clamp<int64_t>(kept, 0, share);
    Budget& budget = budgets_[organisation];
    AddToShare(budget, record.holder, -freed);
    budget.undrawn += freed;
    budget.CheckInvariant();
  }
  return FoldVerdict::kAccepted;
}

FoldVerdict LedgerFold::On(const Fence& record, const FoldContext&) {
  const bool first = fenced_.insert({record.holder, record.entry}).second;
  return first ? FoldVerdict::kAccepted : FoldVerdict::kRepeat;
}

bool LedgerFold::IsValid(const Charge& record,
                         const FoldContext& context) const {
  if (auto it = released_.find(record.holder); it != released_.end()) {
    auto kept = it->second.find(record.attempt);
    return kept != it->second.end() && record.tokens <= kept->second;
  }
  return context.writer == record.holder ||
         !fenced_.contains({record.holder, record.entry});
}

FoldVerdict LedgerFold::On(const Void& record, const FoldContext&) {
  if (!voided_attempts_.try_emplace(record.attempt, now()).second) {
    return FoldVerdict::kRepeat;
  }
  const KeyId id = IdOf(record.organisation, record.key);
  KeyState state = Lookup(id);
  if (state.fallback_attempt == record.attempt) {
    keys_[id].fallback_attempt = 0;
    return FoldVerdict::kAccepted;
  }
  if (state.phase != KeyState::Phase::kCharged ||
      state.attempt != record.attempt) {
    return FoldVerdict::kAccepted;
  }
  Budget& budget = budgets_[record.organisation];
  budget.charged -= state.tokens;
  budget.undrawn += state.tokens;
  if (state.fallback_attempt != 0) {
    // The tokens of the second charge were not deducted from its holder's
    // share, so they are taken from the undrawn tokens.
    state.attempt = std::exchange(state.fallback_attempt, 0);
    state.tokens = std::min(state.fallback_tokens, budget.undrawn);
    budget.undrawn -= state.tokens;
    budget.charged += state.tokens;
    keys_[id] = state;
  } else if (state.non_repeatable) {
    keys_[id].phase = KeyState::Phase::kDone;
    keys_[id].tokens = 0;
  } else {
    keys_.erase(id);
  }
  budget.CheckInvariant();
  return FoldVerdict::kAccepted;
}

template <class Other>
FoldVerdict LedgerFold::On(const Other&, const FoldContext&) {
  return FoldVerdict::kNotApplicable;
}

LedgerFold::KeyId LedgerFold::IdOf(const std::string& organisation,
                                   const std::string& key) {
  const std::string name = organisation + "\n" + key;
  return {StableHash(name), StableHash(name, kSecondHashSeed)};
}

bool LedgerFold::Expired(const KeyState& state) const {
  return !state.never_expires && state.last_seen + key_window_ < now();
}

KeyState LedgerFold::Lookup(const KeyId& id) const {
  auto it = keys_.find(id);
  return it == keys_.end() || Expired(it->second) ? KeyState() : it->second;
}

}  // namespace tamaracktrail
