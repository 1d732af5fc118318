#ifndef COORDINATION_BUDGET_SHARES_H_
#define COORDINATION_BUDGET_SHARES_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/claim_batch.h"
#include "coordination/rate_meter.h"
#include "state/budget_claim.h"
#include "state/millis.h"
#include "state/organisation.h"
#include "state/share_lock.h"

namespace tamaracktrail {

//! The shares of prepaid budgets that this instance may spend without
//! contacting the log or other instances.
//!
//! Each instance has one claim per organisation on the log. A raised claim
//! takes effect at the position of its record in the log, and is granted only
//! as far as the sum of all claims up to that position stays within the prepaid
//! total. Every instance sums the claims as recorded, whether they were granted
//! or not. The sum is therefore never below what was granted, and no sequence
//! of records lets the instances together spend more than the total. The newest
//! claim of each key is the complete state; no history is needed.
//!
//! The log may come back from an older copy and then lacks claims that were
//! granted since. Each instance remembers the claims of the others until they
//! record them again, and records its own again at once. For an instance that
//! doesn't, the others record a substitute. Until every claim is recorded again
//! in one of these ways, none is raised.
//!
//! Instances lend each other tokens (TokenLending). A lender counts lent tokens
//! like spent ones, so its claim covers them for good; the borrower may spend
//! them in addition to its own share and never claims them. The tokens that all
//! instances may spend together therefore don't change, whether a loan arrives
//! or is lost.
//!
//! Shares are large, since an instance may lose its connection to the log for
//! several seconds. To keep a crash from stranding them, each share lock keeps
//! most of a share from being spent for a short time: see ShareLock. Not
//! thread-safe.
class BudgetShares {
 public:
  enum class Verdict {
    kGranted,
    kUnlimited,     //!< The organisation has no budget; nothing is reserved.
    kInsufficient,  //!< The share is insufficient; a larger one is requested.
  };

  struct Identity {
    std::string instance;
    uint64_t incarnation = 0;  //!< Unique among all processes of this name.
    std::string boot;          //!< Boot ID of this machine.
  };

  //! The values that decide on a request, for log lines. Amounts in tokens.
  struct View {
    int64_t available = 0;  //!< May be spent now.
    int64_t held = 0;       //!< Granted and not in use, even if locked.
    //! Claimed by no instance, according to the records applied so far.
    //! Negative while the claims exceed the budget.
    int64_t unclaimed = 0;
    Millis log_age;  //!< Time since the log was last read up to its end.
  };

  explicit BudgetShares(Identity self);

  //! Records that at `now` (time since boot) no predecessor of this name runs
  //! any more. Precondition: called before the first record is applied.
  void SetPredecessorGoneAt(Millis now) { predecessor_gone_at_ = now; }

  //! Applies the budgets of a new configuration. Where a total was lowered, the
  //! instance gives up its share, except for what it has spent or reserved.
  void SetBudgets(const std::vector<Organisation>& organisations);

  //! Sets the number of instances that share the budgets, including this one.
  void SetInstances(int n);

  //! The process is about to exit: from now on shares cover only the requests
  //! that arrive until callers have stopped sending to this instance.
  void BeginDrain() { draining_ = true; }

  //! The log to be listed next has come back from an older copy `generation`
  //! times. Precondition: outside a listing. The batch that is pending, if any,
  //! is void if the generation has risen.
  void SetGeneration(Millis now, int64_t generation);
  //! Whether all claims are recorded that are known to have been granted, so
  //! that claims may be raised.
  bool IsSettled() const;

  //! Applies a record of the log. Precondition: outside a listing, records are
  //! applied in log order; all records of predecessors are applied before the
  //! first batch is planned.
  void Apply(const BudgetClaim& claim);
  void Apply(const ShareLock& lock);

  //! Mark the start and the end of a listing. In between, `Apply` gets the
  //! newest record of each key, ordered by key instead of log position. How
  //! much of this instance's own raised claim is granted is decided at the end,
  //! and only if it was appended before the listing began: otherwise the listed
  //! claims of other instances may be older than the raise. After a failed
  //! listing, call BeginListing again.
  void BeginListing();
  void EndListing();

  //! All records that the log holds at `now` were applied.
  void OnSynced(Millis now);

  //! Whether a raise was appended of which it is still unknown how much is
  //! granted.
  bool HasUndecidedRaise() const;

  //! Reserves `tokens` of the share for one request.
  Verdict Reserve(Millis now, const std::string& organisation, int64_t tokens);

  //! Ends the reservation of a request that spent `spent` of its `reserved`
  //! tokens; the rest becomes available again.
  //! Precondition: `spent` is not above `reserved`, and `reserved` was granted
  //! and not settled before.
  void Settle(const std::string& organisation, int64_t reserved, int64_t spent);

  //! Whether the whole budget, and not only this share, is too small for
  //! `tokens`. Counts only tokens that are known to be spent; false unless the
  //! log was read up to its end within the last 1.5 s.
  bool IsExhausted(Millis now,
                   const std::string& organisation,
                   int64_t tokens) const;

  //! Takes up to `tokens` out of the share to lend them, and returns how many.
  //! They can't be put back.
  int64_t Lend(Millis now, const std::string& organisation, int64_t tokens);
  //! Adds tokens that another instance has lent, taken from a budget whose
  //! total was `prepaid`. Returns false, and adds nothing, if the total is
  //! known to be lower here: what the lender still held may exceed it.
  //! Precondition: no part of the same loan was added before.
  bool AddLoan(Millis now,
               const std::string& organisation,
               int64_t tokens,
               int64_t prepaid);
  //! Returns the total of an organisation's budget; nullopt without a budget.
  std::optional<int64_t> Prepaid(const std::string& organisation) const;
  //! Returns what `Lend` would give now, by organisation, without those that
  //! have nothing.
  std::vector<std::pair<std::string, int64_t>> Lendable(Millis now) const;
  //! Returns the part of the share that stems from loans and can't be returned
  //! to the budget, by organisation.
  std::vector<std::pair<std::string, int64_t>> UnusedLoans() const;

  //! Plans the records to append now. A non-empty batch is pending until
  //! `OnAppended`; until then further plans are empty.
  ClaimBatch Plan(Millis now);
  //! Plans the records that return all unused tokens, for the end of the
  //! process. The batch is pending like one of `Plan`.
  ClaimBatch PlanReturn(Millis now);
  //! The pending batch was appended. Precondition: a batch is pending.
  void OnAppended();

  //! Whether a reservation was refused within the last 300 ms and the share
  //! has not grown enough for it since.
  bool HasRecentRefusal(Millis now) const;

  //! Returns the state of an organisation's share; all values are 0 for an
  //! organisation without a budget.
  View GetView(Millis now, const std::string& organisation) const;
  //! Returns the sum of all known claims on an organisation's budget.
  int64_t TotalClaimed(const std::string& organisation) const;

 private:
  struct Account {
    std::optional<int64_t> prepaid;  //!< Budget, tokens; nullopt: no limit.
    //! Newest claims of the other instances, by name.
    std::map<std::string, BudgetClaim> others;
    //! Claims of the other instances that were known when the log was restored,
    //! until they record them again.
    std::map<std::string, BudgetClaim> remembered;
    int64_t others_claimed = 0;
    int64_t others_spent = 0;
    int64_t others_stranded = 0;
    //! Newest claim of a predecessor under the same name.
    BudgetClaim predecessor;
    //! The part of the predecessor's claim that still counts against the
    //! budget. This instance never spends it.
    int64_t base_claimed = 0;
    int64_t base_spent = 0;
    // State of this incarnation, without the base.
    uint64_t planned_number = 0;   //!< Of the own record planned last.
    int64_t logged_claim = 0;      //!< Own claim that was appended last.
    bool raise_undecided = false;  //!< See HasUndecidedRaise.
    bool recorded = true;  //!< Own claim is recorded since the last restore.
    int64_t granted = 0;   //!< Including spent tokens.
    //! What the newest appended lock allows to spend, including spent tokens.
    int64_t locked_limit = 0;
    //! Values of the pending batch.
    std::optional<int64_t> pending_claim;
    std::optional<int64_t> pending_locked_limit;
    int64_t spent = 0;
    int64_t reserved = 0;
    int64_t lent = 0;             //!< To other instances; never decreases.
    int64_t borrowed = 0;         //!< From other instances.
    int64_t largest_refused = 0;  //!< Of the recently refused reservations.
    Millis refused_at;            //!< Time of the last refusal; 0 for none.
    double typical_size = 0;      //!< Smoothed size of reservations.
    Millis first_reservation_at;  //!< 0 for none.
    double total_reserved = 0;    //!< Sum of all reservations so far.
    //! Its time constant has to be kDemandTimeConstantSeconds.
    RateMeter demand{Millis(5000)};

    int64_t used() const { return spent + reserved + lent; }
    //! The part of the own claim that is used. Loans are used first.
    int64_t in_use() const { return std::max<int64_t>(0, used() - borrowed); }
    int64_t unused_loans() const {
      return std::max<int64_t>(0, borrowed - used());
    }
    //! Tokens of predecessors that can't be spent any more but aren't known to
    //! be spent.
    int64_t stranded() const {
      // With loans, a predecessor may have spent more than it claimed.
      return std::max<int64_t>(0, base_claimed - base_spent);
    }
    //! The part of a remembered claim that the instance's own record in the log
    //! lacks, whether a substitute records it or not.
    int64_t Lost(const std::string& instance,
                 const BudgetClaim& remembered_claim,
                 int64_t generation) const;
    //! The part of all remembered claims that neither the instances' own
    //! records nor substitutes have.
    int64_t Unrecorded(int64_t generation) const;
    //! Tokens that no instance claims; negative while the claims exceed the
    //! budget.
    int64_t Unclaimed(int64_t generation) const {
      return *prepaid - others_claimed - Unrecorded(generation) - base_claimed -
             logged_claim;
    }
  };

  int64_t Available(Millis now, const Account& account) const;
  //! Forgets refused reservations for which the share suffices now.
  void UpdateRefusal(Millis now, Account* account) const;
  double DemandRate(Millis now, const Account& account) const;
  //! Expected demand of the next `seconds` plus `deviations` standard
  //! deviations of it, in tokens.
  double DemandWithMargin(Millis now,
                          const Account& account,
                          double seconds,
                          double deviations) const;
  //! The budget without what is known to be spent or stranded, in tokens.
  double RemainingBudget(const Account& account) const;
  //! Unused tokens that the share should hold.
  int64_t ShareTarget(Millis now, const Account& account) const;
  //! Unused tokens that the next lock should allow to spend.
  int64_t LockTarget(Millis now, const Account& account) const;
  //! Smallest surplus that is worth a record.
  double MinReturn(const Account& account) const;
  void ApplyOwn(Account* account, const BudgetClaim& claim);
  void ApplyOther(Account* account, BudgetClaim claim);
  void DecideGrant(Account* account, const BudgetClaim& claim) const;
  //! The log was restored: forgets what was read from it, and remembers what it
  //! may lack.
  void OnRestored();
  //! Whether records of other instances have been missing in the log for so
  //! long that this instance has to write them.
  bool NeedsSubstitutes() const;
  //! Adds locks for the instances that have not written since the restore, and
  //! claims for what the log lacks of remembered ones.
  void PlanSubstitutes(ClaimBatch* batch) const;
  //! Recomputes the base from the claim and the lock of the predecessor.
  void UpdateBase(Account* account);
  std::optional<BudgetClaim> PlanAccount(Millis now,
                                         const std::string& name,
                                         Account* account) const;
  //! Plans the claim of an organisation whose budget was removed. What it has
  //! used counts again once it has a budget, and a successor may count only
  //! what the claim locks.
  std::optional<BudgetClaim> PlanWithoutBudget(const std::string& name,
                                               Account* account) const;
  BudgetClaim MakeClaim(const std::string& name,
                        Account* account,
                        int64_t own_claimed,
                        int64_t own_locked) const;
  //! Adds the lock to the batch and marks the batch as pending.
  void StartBatch(Millis now, ClaimBatch* batch);

  Identity self_;
  int instances_ = 1;
  bool draining_ = false;
  Millis predecessor_gone_at_{-1};  //!< -1 if unknown.
  //! Smoothed moments of the reservation sizes of all organisations.
  double mean_size_ = 0;
  double mean_square_ = 0;
  bool batch_pending_ = false;
  bool listing_ = false;
  //! No batch was pending when the listing began.
  bool listing_decides_ = false;
  std::map<std::string, BudgetClaim> listed_own_;  //!< By organisation.
  //! When the log was last read up to its end; -1 for never.
  Millis synced_at_{-1};
  std::optional<ShareLock> predecessor_lock_;
  int64_t generation_ = -1;  //!< Of the log; -1 before the first listing.
  Millis generation_at_;     //!< When this instance learned of it.
  bool restored_ = false;    //!< The log was restored during this incarnation.
  //! Generation of the newest record of each other instance or its substitute,
  //! and of the predecessor under the own name.
  std::map<std::string, int64_t> written_generations_;
  Millis lock_at_;          //!< Time of the newest appended lock; 0 for none.
  Millis pending_lock_at_;  //!< Time of the pending lock; 0 for none.
  std::map<std::string, Account> accounts_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_BUDGET_SHARES_H_
