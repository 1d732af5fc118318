#include "coordination/budget_shares.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace tamaracktrail {

namespace {

//! A share covers this much demand while the budget is untouched: about as long
//! as the platform's log may be out of reach.
constexpr double kLongestCoverSeconds = 9;
//! Near the end of a budget a share covers little, so that what remains is
//! where requests come.
constexpr double kShortestCoverSeconds = 1;

//! Part of what is undrawn that all instances together hold without demand, so
//! that the first requests of an organisation need not wait for the log.
constexpr double kIdlePart = 0.08;

//! A share is filled up below this part of its target, and given back above
//! this multiple; the gap between them bounds the appends.
constexpr double kRefillBelow = 0.5;
constexpr double kGiveBackAbove = 2.5;

//! A request that still waits asks again well within this time.
constexpr Millis kNeedLasts{300};

//! A look at the log counts as recent for this long.
constexpr Millis kRecentLook{1500};

}  // namespace

BudgetShares::BudgetShares(std::string self, uint64_t incarnation)
    : self_(std::move(self)), incarnation_(incarnation) {}

void BudgetShares::SetBudgets(const std::vector<Organisation>& organisations) {
  for (const Organisation& it : organisations) {
    Account& account = accounts_[it.name];
    const bool lowered =
        it.prepaid && account.prepaid && *it.prepaid < *account.prepaid;
    account.prepaid = it.prepaid;
    if (lowered) {
      account.accepted = account.spent + account.reserved;
    }
  }
}

void BudgetShares::SetInstances(int n) {
  instances_ = std::max(1, n);
}

void BudgetShares::Apply(const BudgetClaim& claim) {
  Account& account = accounts_[claim.organisation];
  if (claim.instance == self_) {
    ApplyOwn(&account, claim);
    return;
  }
  BudgetClaim& known = account.others[claim.instance];
  account.others_claimed += claim.claimed - known.claimed;
  account.others_spent += claim.spent - known.spent;
  known = claim;
}

void BudgetShares::ApplyOwn(Account* account, const BudgetClaim& claim) {
  if (claim.incarnation != incarnation_) {
    // Only a predecessor can have written it: its epoch was fenced before this
    // process's first append.
    account->base_claimed = claim.claimed;
    account->base_spent = claim.spent;
    return;
  }
  account->logged = claim.claimed - account->base_claimed;
  if (account->waiting_for_log) {
    account->waiting_for_log = false;
    --in_flight_;
  }
  const int64_t room = account->prepaid
                           ? *account->prepaid - account->others_claimed -
                                 account->base_claimed
                           : 0;
  account->accepted =
      std::max(account->accepted, std::min(account->logged, room));
  if (account->available() >= account->needed) {
    account->needed = 0;
  }
  CHECK_GE(account->accepted, account->spent + account->reserved)
      << "event=share_overspent organisation=" << claim.organisation;
}

BudgetShares::Verdict BudgetShares::Reserve(Millis now,
                                            const std::string& organisation,
                                            int64_t tokens) {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end() || !it->second.prepaid) {
    return Verdict::kUnlimited;
  }
  Account& account = it->second;
  account.largest = std::max(tokens, account.largest * 9 / 10);
  if (account.available() < tokens) {
    account.needed = std::max(account.needed, tokens);
    account.needed_at = now;
    return Verdict::kShort;
  }
  account.demand.Add(now, tokens);
  account.reserved += tokens;
  return Verdict::kGranted;
}

void BudgetShares::Settle(const std::string& organisation,
                          int64_t reserved,
                          int64_t spent) {
  Account& account = accounts_[organisation];
  CHECK_LE(spent, reserved) << "event=settled_above_reservation";
  CHECK_LE(reserved, account.reserved) << "event=settled_twice";
  account.reserved -= reserved;
  account.spent += spent;
}

bool BudgetShares::IsExhausted(Millis now,
                               const std::string& organisation,
                               int64_t tokens) const {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end() || !it->second.prepaid ||
      now - synced_ > kRecentLook) {
    return false;
  }
  const Account& account = it->second;
  return *account.prepaid - account.others_spent - account.base_spent -
             account.spent <
         tokens;
}

int64_t BudgetShares::Target(Millis now, const Account& account) const {
  const auto pool = static_cast<double>(std::max<int64_t>(
      0, *account.prepaid - account.others_claimed - account.base_claimed -
             account.spent - account.reserved));
  const double full = std::max<double>(1, static_cast<double>(*account.prepaid));
  const double seconds =
      std::clamp(kLongestCoverSeconds * 1.5 * pool / full,
                 kShortestCoverSeconds, kLongestCoverSeconds);
  const double rate = account.demand.PerSecond(now);
  double wanted = std::max(rate * seconds, pool * kIdlePart / instances_);
  if (rate > 0) {
    wanted = std::max(wanted, static_cast<double>(account.largest));
  }
  // All instances may draw at the same moment.
  wanted = std::min(wanted, pool / instances_);
  return std::max(static_cast<int64_t>(wanted), account.needed);
}

std::optional<int64_t> BudgetShares::PlanAccount(Millis now,
                                                 Account* account) const {
  if (!account->prepaid || account->waiting_for_log) {
    return std::nullopt;
  }
  const int64_t target = Target(now, *account);
  const auto available = static_cast<double>(account->available());
  const int64_t in_use = account->spent + account->reserved;
  const auto wanted = static_cast<double>(target);
  const bool overdrawn = account->undrawn() < 0;
  if (account->needed > 0 || available < wanted * kRefillBelow) {
    const int64_t raised = in_use + target;
    if (raised > account->logged && account->undrawn() > 0) {
      return raised;
    }
  }
  if (available > wanted * kGiveBackAbove ||
      (overdrawn && available > wanted * kRefillBelow) ||
      account->logged > account->accepted) {
    // Spending stops before the log hears of it.
    account->accepted =
        std::min(account->accepted, std::max(in_use, in_use + target));
    if (account->accepted < account->logged) {
      return account->accepted;
    }
  }
  return std::nullopt;
}

BudgetClaim BudgetShares::MakeClaim(const std::string& name,
                                    const Account& account) const {
  BudgetClaim claim;
  claim.instance = self_;
  claim.organisation = name;
  claim.incarnation = incarnation_;
  claim.claimed = account.base_claimed;
  claim.spent = account.base_spent + account.spent;
  return claim;
}

std::vector<BudgetClaim> BudgetShares::PlanClaims(Millis now) {
  std::vector<BudgetClaim> claims;
  if (in_flight_ > 0 || synced_ < Millis(0)) {
    return claims;
  }
  for (auto& [name, account] : accounts_) {
    if (now - account.needed_at > kNeedLasts) {
      account.needed = 0;
    }
    if (const auto own = PlanAccount(now, &account)) {
      claims.push_back(MakeClaim(name, account));
      claims.back().claimed += *own;
      account.waiting_for_log = true;
      ++in_flight_;
    }
  }
  return claims;
}

std::vector<BudgetClaim> BudgetShares::PlanReturn() {
  std::vector<BudgetClaim> claims;
  for (auto& [name, account] : accounts_) {
    const int64_t in_use = account.spent + account.reserved;
    if (account.waiting_for_log || account.logged <= in_use) {
      continue;
    }
    account.accepted = in_use;
    claims.push_back(MakeClaim(name, account));
    claims.back().claimed += in_use;
    account.waiting_for_log = true;
    ++in_flight_;
  }
  return claims;
}

bool BudgetShares::HasWaiting(Millis now) const {
  return std::any_of(accounts_.begin(), accounts_.end(), [&](const auto& it) {
    return it.second.needed > 0 && now - it.second.needed_at <= kNeedLasts;
  });
}

int64_t BudgetShares::Available(const std::string& organisation) const {
  const auto it = accounts_.find(organisation);
  return it == accounts_.end() ? 0 : it->second.available();
}

int64_t BudgetShares::Claimed(const std::string& organisation) const {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end()) {
    return 0;
  }
  return it->second.others_claimed + it->second.base_claimed +
         it->second.logged;
}

}  // namespace tamaracktrail
