#ifndef COORDINATION_BUDGET_SHARES_H_
#define COORDINATION_BUDGET_SHARES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/rate_meter.h"
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
//! key is all the state there is: no history is needed to go on from it. Not
//! thread-safe.
class BudgetShares {
 public:
  enum class Verdict {
    kGranted,
    kUnlimited,  //!< The organisation has no budget; nothing is reserved.
    kShort,      //!< The share is too small; a larger one is asked for.
  };

  //! `incarnation` is unique among all processes under this name.
  BudgetShares(std::string self, uint64_t incarnation);

  //! A configuration came into force. A lowered total takes back what is not
  //! spent here.
  void SetBudgets(const std::vector<Organisation>& organisations);

  //! How many instances share the budgets, this one included.
  void SetInstances(int n);

  //! A record of the log, in its order.
  void Apply(const BudgetClaim& claim);

  //! All records up to this moment were applied.
  void OnSynced(Millis now) { synced_ = now; }

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

  //! Claims to append now; empty for none. They are taken as being on their
  //! way until `Apply` has seen them all.
  std::vector<BudgetClaim> PlanClaims(Millis now);

  //! Claims that give back all that is not needed, for the end of the process.
  std::vector<BudgetClaim> PlanReturn();

  //! Whether a request was short of a share a moment ago.
  bool HasWaiting(Millis now) const;
  //! Whether claims are on their way to the log.
  bool in_flight() const { return in_flight_ > 0; }

  //! Tokens that may be spent without asking; 0 for an unknown organisation.
  int64_t Available(const std::string& organisation) const;
  //! Sum of all known claims.
  int64_t Claimed(const std::string& organisation) const;

 private:
  struct Account {
    std::optional<int64_t> prepaid;
    //! Newest claims of the other instances, by name.
    std::map<std::string, BudgetClaim> others;
    int64_t others_claimed = 0;
    int64_t others_spent = 0;
    //! Claims of predecessors under the same name; never spent here.
    int64_t base_claimed = 0;
    int64_t base_spent = 0;
    int64_t logged = 0;    //!< Own claim on the log, without the base.
    int64_t accepted = 0;  //!< Own tokens that were granted, spent included.
    int64_t spent = 0;
    int64_t reserved = 0;
    int64_t needed = 0;  //!< Largest reservation that was too large.
    Millis needed_at;    //!< When that was.
    int64_t largest = 0;  //!< Largest reservation of late.
    bool waiting_for_log = false;
    RateMeter demand{Millis(5000)};

    int64_t available() const { return accepted - spent - reserved; }
    int64_t undrawn() const {
      return *prepaid - others_claimed - base_claimed - logged;
    }
  };

  int64_t Target(Millis now, const Account& account) const;
  void ApplyOwn(Account* account, const BudgetClaim& claim);
  std::optional<int64_t> PlanAccount(Millis now, Account* account) const;
  BudgetClaim MakeClaim(const std::string& name, const Account& account) const;

  std::string self_;
  uint64_t incarnation_;
  int instances_ = 1;
  int in_flight_ = 0;
  Millis synced_{-1};
  std::map<std::string, Account> accounts_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_BUDGET_SHARES_H_
