#ifndef COORDINATION_BUDGET_SHARES_H_
#define COORDINATION_BUDGET_SHARES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/claim_batch.h"
#include "coordination/rate_meter.h"
#include "state/budget_beat.h"
#include "state/budget_claim.h"
#include "state/millis.h"
#include "state/organisation.h"

namespace tamaracktrail {

//! The shares of prepaid budgets that this instance may spend without asking.
//!
//! Each instance keeps one claim an organisation on the log. A claim that was
//! raised counts from where its record stands in the log's order, and only as
//! far as the sum of all claims up to there stays within the prepaid total.
//! Every instance adds up the claims as they stand, granted or not, so what it
//! sees is never less than what was granted, and no sequence of records lets
//! the instances together spend more than the total. The newest claim of each
//! key is all the state there is: no history is needed to go on from it.
//!
//! Shares are large, since an instance may be cut off from the log for long. So
//! that a crash does not lose them, each beat locks most of them for a short
//! time: see BudgetBeat. Not thread-safe.
class BudgetShares {
 public:
  enum class Verdict {
    kGranted,
    kUnlimited,  //!< The organisation has no budget; nothing is reserved.
    kShort,      //!< The share is too small; a larger one is asked for.
  };

  struct Identity {
    std::string instance;
    uint64_t incarnation = 0;  //!< Unique among all processes of this name.
    std::string boot;          //!< Of this machine.
  };

  //! What decides on a request, for the log. All in tokens.
  struct View {
    int64_t available = 0;  //!< May be spent now.
    int64_t held = 0;       //!< Granted and not in use, locked away or not.
    int64_t undrawn = 0;    //!< Nobody's yet, as far as is known here.
    Millis log_age;         //!< Since the last look at the log.
  };

  explicit BudgetShares(Identity self);

  //! No predecessor of this name is alive at `now`, time since boot.
  //! Precondition: no record was applied.
  void SetAlone(Millis now) { alone_since_ = now; }

  //! A configuration came into force. A lowered total takes back what is not
  //! spent here.
  void SetBudgets(const std::vector<Organisation>& organisations);

  //! How many instances share the budgets, this one included.
  void SetInstances(int n);

  //! The process is about to end: from now on shares cover only the requests
  //! that still come before callers have noticed.
  void BeginDrain() { draining_ = true; }

  //! A record of the log, in its order. All records of predecessors come before
  //! the first batch is planned.
  void Apply(const BudgetClaim& claim);
  void Apply(const BudgetBeat& beat);

  //! Between these calls `Apply` gets the newest record of each key, by key and
  //! not in the log's order. An own raise is decided at the end, and only if
  //! the log had it before the listing began: until then what is known of the
  //! others may be older than the raise. A listing that failed begins anew.
  void BeginListing();
  void EndListing();

  //! All records up to this moment were applied.
  void OnSynced(Millis now);

  //! Whether the log has a raise on which it has not decided yet.
  bool HasUndecided() const;

  //! Takes `tokens` out of the share for one request.
  Verdict Reserve(Millis now, const std::string& organisation, int64_t tokens);

  //! The request ended; `spent` of its `reserved` tokens are gone for good.
  //! Precondition: `spent` is not above `reserved`.
  void Settle(const std::string& organisation, int64_t reserved, int64_t spent);

  //! Whether the budget, and not only this share, is too small: known from a
  //! recent look at the log and counting only what is surely spent.
  bool IsExhausted(Millis now,
                   const std::string& organisation,
                   int64_t tokens) const;

  //! What to append now. A batch that is not empty is on its way until
  //! `OnAppended`; meanwhile no other is planned.
  ClaimBatch Plan(Millis now);
  //! The same for the end of the process: gives back all that is not in use.
  ClaimBatch PlanReturn(Millis now);
  //! The log has the batch.
  void OnAppended();

  //! Whether a request was short of a share a moment ago.
  bool HasWaiting(Millis now) const;

  //! All 0 for an organisation without a budget.
  View Look(Millis now, const std::string& organisation) const;
  //! Sum of all known claims.
  int64_t Claimed(const std::string& organisation) const;

 private:
  struct Account {
    std::optional<int64_t> prepaid;
    //! Newest claims of the other instances, by name.
    std::map<std::string, BudgetClaim> others;
    int64_t others_claimed = 0;
    int64_t others_spent = 0;
    int64_t others_dead = 0;
    //! Newest claim of a predecessor under the same name.
    BudgetClaim predecessor;
    //! What counts of it: never spent here.
    int64_t base_claimed = 0;
    int64_t base_spent = 0;
    // Own tokens, without the base.
    uint64_t number = 0;     //!< Of the newest own record that was planned.
    int64_t logged = 0;      //!< Own claim that was appended last.
    bool undecided = false;  //!< The log's order still decides on a raise.
    int64_t accepted = 0;    //!< What was granted, spent included.
    int64_t locked = 0;      //!< Limit of the newest lock that the log has.
    //! Of a batch on its way.
    std::optional<int64_t> next_logged;
    std::optional<int64_t> next_locked;
    int64_t spent = 0;
    int64_t reserved = 0;
    int64_t needed = 0;  //!< Largest reservation that was too large.
    Millis needed_at;
    double usual = 0;  //!< Smoothed size of reservations.
    Millis first_demand;
    double asked = 0;  //!< All reservations.
    RateMeter demand{Millis(5000)};

    int64_t in_use() const { return spent + reserved; }
    int64_t dead() const { return base_claimed - base_spent; }
    int64_t undrawn() const {
      return *prepaid - others_claimed - base_claimed - logged;
    }
  };

  int64_t AvailableIn(Millis now, const Account& account) const;
  double DemandRate(Millis now, const Account& account) const;
  //! What comes in this time at most, but for rare cases.
  double DemandIn(Millis now,
                  const Account& account,
                  double seconds,
                  double deviations) const;
  double Left(const Account& account) const;
  int64_t Target(Millis now, const Account& account) const;
  int64_t LockTarget(Millis now, const Account& account) const;
  double LeastReturn(const Account& account) const;
  void ApplyOwn(Account* account, const BudgetClaim& claim);
  static void Decide(Account* account, const BudgetClaim& claim);
  void CountPredecessor(Account* account);
  std::optional<BudgetClaim> PlanAccount(Millis now,
                                         const std::string& name,
                                         Account* account) const;
  BudgetClaim MakeClaim(const std::string& name,
                        Account* account,
                        int64_t own_claimed,
                        int64_t own_locked) const;
  void Launch(Millis now, ClaimBatch* batch);

  Identity self_;
  int instances_ = 1;
  bool draining_ = false;
  Millis alone_since_{-1};
  //! Smoothed, of the reservations of all organisations.
  double mean_size_ = 0;
  double mean_square_ = 0;
  bool in_flight_ = false;
  bool listing_ = false;
  bool listing_decides_ = false;  //!< No batch was on its way at its start.
  std::map<std::string, BudgetClaim> listed_own_;  //!< By organisation.
  Millis synced_{-1};
  std::optional<BudgetBeat> predecessor_beat_;
  Millis beat_at_;       //!< Of the newest beat that the log has; 0 for none.
  Millis next_beat_at_;  //!< Of a beat on its way; 0 for none.
  std::map<std::string, Account> accounts_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_BUDGET_SHARES_H_
