#ifndef STATE_LEDGER_FOLD_H_
#define STATE_LEDGER_FOLD_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "state/budget.h"
#include "state/fold_clock.h"
#include "state/fold_context.h"
#include "state/fold_verdict.h"
#include "state/key_state.h"
#include "state/millis.h"
#include "state/record.h"

namespace tamaracktrail {

//! Balances and request keys of one ledger shard, folded from its records.
//!
//! Every reader that folds the same records reaches the same state. A draw is
//! granted from undrawn tokens only, so that the holders together cannot spend
//! more than was prepaid. Not thread-safe.
class LedgerFold {
 public:
  using Snapshot = LedgerSnapshot;

  //! Keys are remembered for `key_window` of fold time. All instances of the
  //! fleet must use the same value.
  explicit LedgerFold(Millis key_window) : key_window_(key_window) {}

  //! Applies one record. Stops the process if a budget's invariant is violated.
  FoldVerdict Apply(const Record& record, const FoldContext& context);

  //! Balance of an organisation; all zero if it never had a top-up.
  const Budget& BudgetOf(const std::string& organisation) const;

  //! State of a request key; phase kNone if the key is unknown.
  KeyState KeyOf(const std::string& organisation, const std::string& key) const;

  //! Whether a UUIDv7 key is at least as old as the key window, so that the
  //! fold may have dropped its state. False for any other key. `wall` is the
  //! wall-clock time of the calling process.
  bool KeyTooOld(const std::string& key, Millis wall) const;

  bool HolderExited(uint64_t holder) const {
    return released_.contains(holder);
  }

  //! Sum of the tokens in all shares of `holder`.
  int64_t TokensHeldBy(uint64_t holder) const;

  //! Tokens in the shares of `holder`, by organisation.
  std::map<std::string, int64_t> SharesOf(uint64_t holder) const;

  const std::unordered_map<std::string, Budget>& budgets() const {
    return budgets_;
  }
  size_t key_count() const { return keys_.size(); }

  //! Fold time.
  Millis now() const { return clock_.now(); }

  //! Drops expired keys, which the lookups ignore already, and voided and
  //! abandoned attempts that are older than the key window.
  void Trim();

  template <class Archive>
  void serialize(Archive& archive);

 private:
  using KeyId = std::pair<uint64_t, uint64_t>;

  FoldVerdict On(const TopUp& record, const FoldContext& context);
  FoldVerdict On(const Draw& record, const FoldContext& context);
  FoldVerdict On(const Return& record, const FoldContext& context);
  FoldVerdict On(const ShareRequest& record, const FoldContext& context);
  FoldVerdict On(const Charge& record, const FoldContext& context);
  FoldVerdict On(const RunClaim& record, const FoldContext& context);
  FoldVerdict On(const Abandon& record, const FoldContext& context);
  FoldVerdict On(const Outcome& record, const FoldContext& context);
  FoldVerdict On(const Run& record, const FoldContext& context);
  FoldVerdict On(const Refusal& record, const FoldContext& context);
  FoldVerdict On(const Release& record, const FoldContext& context);
  FoldVerdict On(const Void& record, const FoldContext& context);
  FoldVerdict On(const Fence& record, const FoldContext& context);
  template <class Other>
  FoldVerdict On(const Other& record, const FoldContext& context);

  //! Adds `tokens`, which may be negative, to a holder's share of a budget.
  //! Each change of a share has to use this, which keeps `held_` consistent.
  void AddToShare(Budget& budget, uint64_t holder, int64_t tokens);
  //! Whether a charge is valid under its holder's share. After the holder's
  //! release, only charges covered by the tokens kept for their attempt are;
  //! after a fence, only those that the holder appends itself.
  bool IsValid(const Charge& record, const FoldContext& context) const;
  static KeyId IdOf(const std::string& organisation, const std::string& key);
  bool Expired(const KeyState& state) const;
  KeyState Lookup(const KeyId& id) const;

  Millis key_window_;
  FoldClock clock_;
  std::unordered_map<std::string, Budget> budgets_;
  std::unordered_map<uint64_t, int64_t> held_;  //!< Sum of shares by holder.
  std::map<KeyId, KeyState> keys_;
  std::set<std::string> top_up_ids_;
  std::map<uint64_t, Millis> abandoned_attempts_;  //!< Fold time by attempt.
  std::map<uint64_t, Millis> voided_attempts_;     //!< Fold time by attempt.
  //! Released holders, each with the tokens kept in its shares, by attempt.
  std::map<uint64_t, std::map<uint64_t, int64_t>> released_;
  std::set<std::pair<uint64_t, uint64_t>> fenced_;  //!< Holder, entry.
};

}  // namespace tamaracktrail

#endif  // STATE_LEDGER_FOLD_H_
