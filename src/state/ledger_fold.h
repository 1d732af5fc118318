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
//! Every reader that folds the same records holds the same state. The fold
//! accepts a draw only from what is undrawn, so that no combination of holders
//! spends more than was prepaid. Not thread-safe.
class LedgerFold {
 public:
  using Snapshot = LedgerSnapshot;

  //! Keys are remembered for `key_window` of fold time; it must be the same in
  //! the whole fleet.
  explicit LedgerFold(Millis key_window) : key_window_(key_window) {}

  //! Takes in one record. Stops the process if an invariant breaks.
  FoldVerdict Apply(const Record& record, const FoldContext& context);

  //! Balance of an organisation; all zero where none was ever prepaid.
  const Budget& BudgetOf(const std::string& organisation) const;

  //! What is known of a request key; phase kNone where nothing is.
  KeyState KeyOf(const std::string& organisation, const std::string& key) const;

  //! Whether a UUIDv7 key is older than the window, so that the fold may have
  //! forgotten it. `wall` is the caller's own clock.
  bool KeyTooOld(const std::string& key, Millis wall) const;

  bool HolderExited(uint64_t holder) const { return exited_.contains(holder); }

  //! Tokens in all shares of `holder`.
  int64_t HeldBy(uint64_t holder) const;

  //! Organisations whose budget has a share of `holder`, with its tokens.
  std::map<std::string, int64_t> SharesOf(uint64_t holder) const;

  const std::unordered_map<std::string, Budget>& budgets() const {
    return budgets_;
  }
  size_t key_count() const { return keys_.size(); }

  //! Fold time.
  Millis now() const { return clock_.now(); }

  //! Drops keys that have expired. Not observable through the other methods.
  void Trim();

  template <class Archive>
  void serialize(Archive& archive);

 private:
  using KeyId = std::pair<uint64_t, uint64_t>;

  FoldVerdict On(const TopUp& record, const FoldContext& context);
  FoldVerdict On(const Draw& record, const FoldContext& context);
  FoldVerdict On(const Return& record, const FoldContext& context);
  FoldVerdict On(const Want& record, const FoldContext& context);
  FoldVerdict On(const Charge& record, const FoldContext& context);
  FoldVerdict On(const Claim& record, const FoldContext& context);
  FoldVerdict On(const Abandon& record, const FoldContext& context);
  FoldVerdict On(const Outcome& record, const FoldContext& context);
  FoldVerdict On(const Run& record, const FoldContext& context);
  FoldVerdict On(const Refusal& record, const FoldContext& context);
  FoldVerdict On(const Release& record, const FoldContext& context);
  FoldVerdict On(const Void& record, const FoldContext& context);
  FoldVerdict On(const Fence& record, const FoldContext& context);
  template <class Other>
  FoldVerdict On(const Other& record, const FoldContext& context);

  //! Adds to a holder's share of a budget. All changes of shares go here.
  void AddToShare(Budget& budget, uint64_t holder, int64_t tokens);
  //! Whether a charge may still count under its holder's share.
  bool Stands(const Charge& record, const FoldContext& context) const;
  static KeyId IdOf(const std::string& organisation, const std::string& key);
  bool Expired(const KeyState& state) const;
  KeyState Lookup(const KeyId& id) const;

  Millis key_window_;
  FoldClock clock_;
  std::unordered_map<std::string, Budget> budgets_;
  std::unordered_map<uint64_t, int64_t> held_;  //!< Sum of shares by holder.
  std::map<KeyId, KeyState> keys_;
  std::set<std::string> top_up_ids_;
  std::map<uint64_t, Millis> abandoned_attempts_;  //!< By attempt: fold time.
  std::map<uint64_t, Millis> voided_attempts_;     //!< By attempt: fold time.
  //! Released holders; by attempt, the tokens that others account for.
  std::map<uint64_t, std::map<uint64_t, int64_t>> exited_;
  std::set<std::pair<uint64_t, uint64_t>> fenced_;  //!< Holder and entry.
};

}  // namespace tamaracktrail

#endif  // STATE_LEDGER_FOLD_H_
