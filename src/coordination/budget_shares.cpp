#include "coordination/budget_shares.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace tamaracktrail {

namespace {

//! Time for which a share covers the demand, s. It is longer than the 9 s for
//! which an instance may be cut off from the platform.
constexpr double kCoverSeconds = 12;
//! A share also covers this many standard deviations of that demand. Each
//! instance receives few requests of an organisation, in a large fleet even
//! fewer, and their sizes differ widely, so the mean alone is a poor estimate.
constexpr double kCoverDeviations = 1.5;

//! Replaces kCoverSeconds once the process is about to exit: the load balancer
//! needs 2 s to notice, and callers are notified to close keep-alive
//! connections meanwhile.
constexpr double kDrainCoverSeconds = 2;

//! Upper limits of an instance's share, as fractions of its fair share: the
//! part of the remaining budget that corresponds to its part of the spending so
//! far. The first applies while much of the budget remains, the second while
//! little remains. A power loss of all instances strands all shares, and an
//! organisation near the end of its budget must not lose all of the remainder.
constexpr double kMaxFairFractionAtHighBudget = 0.6;
constexpr double kMaxFairFractionAtLowBudget = 0.1;
//! Remaining fractions of the budget at and above which the first limit
//! applies, and at and below which the second does. Interpolated linearly in
//! between.
constexpr double kHighBudgetThreshold = 0.6;
constexpr double kLowBudgetThreshold = 0.25;

//! Fraction of the remaining budget that all instances together hold without
//! demand, so that the first requests of an organisation need not wait for the
//! log.
constexpr double kIdleFraction = 0.02;

//! When fair shares are computed, each instance counts as having spent its
//! equal part of this fraction of the budget in addition to what it has spent,
//! so that an instance without spending has a fair share too.
constexpr double kUniformPriorFraction = 0.03;

//! A share is refilled below this fraction of its target, and its surplus is
//! returned above this multiple. The gap between them limits the number of
//! appends.
constexpr double kRefillBelow = 0.85;
constexpr double kReturnAbove = 1.25;
//! Replaces kReturnAbove while the claims exceed the budget.
constexpr double kReturnAboveWhenOverclaimed = 1.1;

//! A surplus below this fraction of what an instance may hold without demand is
//! not worth a record, which all instances read. The fraction is lower while
//! the claims exceed the budget, since others then wait for the remainders.
constexpr double kMinReturnFraction = 1;
constexpr double kMinReturnFractionWhenOverclaimed = 0.2;

//! A refused reservation counts as waiting for this time. A request that still
//! waits tries to reserve again well before its end.
constexpr Millis kRefusalLifetime{300};

//! For this time after the log was read up to its end, the known state counts
//! as recent.
constexpr Millis kMaxSyncAge{1500};

//! How long a share lock holds. A killed process is restarted within 2 s, and
//! its newest lock may have been up to one lock interval old when it was killed
//! (0.5 s, or 1 s in a large fleet).
constexpr Millis kLockDuration{3000};
//! Interval between share locks of a small and of a large fleet. It is longer
//! in a large fleet since every instance reads the records of all.
constexpr Millis kLockInterval{500};
constexpr Millis kLargeFleetLockInterval{1000};
//! A fleet with more instances than this is large.
constexpr int kLargeFleetInstances = 16;

//! An instance that has not written for this time since it could learn of a
//! restore gets a substitute: one that lives writes at its next call. An
//! instance that has just started and knows no claims of before leaves others
//! the time to do so.
constexpr Millis kSubstituteDelay{1000};
constexpr Millis kSubstituteDelayAfterStart{2500};

//! What may be spent while a lock holds covers the demand of this time, s, this
//! many standard deviations of it, and one request of typical size.
constexpr double kLockCoverSeconds = 3.5;
constexpr double kLockCoverDeviations = 0.5;
//! The limit of a lock is changed if its unused part is below the first or
//! above the second of these multiples of LockTarget.
constexpr double kRelockBelow = 0.5;
constexpr double kRelockAbove = 2;

//! Weight of one reservation in the smoothed size of its organisation's
//! reservations, and in that of all organisations.
constexpr double kTypicalSizeWeight = 0.1;
constexpr double kMeanSizeWeight = 0.02;

//! Estimates of the demand assume that at least this time has passed since the
//! first reservation: the rate is divided by a term that is near zero at first.
constexpr double kMinDemandSeconds = 0.7;
//! Time constant of the recent rate, and the shortest time over which the mean
//! rate of all reservations is taken.
constexpr double kDemandTimeConstantSeconds = 5;

}  // namespace

BudgetShares::BudgetShares(Identity self) : self_(std::move(self)) {}

void BudgetShares::SetBudgets(const std::vector<Organisation>& organisations) {
  for (const Organisation& it : organisations) {
    Account& account = accounts_[it.name];
    // A share from before a budget was removed may exceed the new one.
    const bool lowered =
        it.prepaid && (!account.prepaid || *it.prepaid < *account.prepaid);
    account.prepaid = it.prepaid;
    if (lowered) {
      account.granted = account.in_use();
      account.borrowed = std::min(account.borrowed, account.used());
    }
  }
}

void BudgetShares::SetInstances(int n) {
  instances_ = std::max(1, n);
}

// --- Records ---------------------------------------------------------------

void BudgetShares::Apply(const BudgetClaim& claim) {
  Account& account = accounts_[claim.organisation];
  if (claim.instance == self_.instance) {
    ApplyOwn(&account, claim);
    return;
  }
  if (NameOfInstance(claim.instance) != self_.instance) {
    written_generations_.try_emplace(NameOfInstance(claim.instance), -1);
  }
  ApplyOther(&account, claim);
  if (IsSubstituteName(claim.instance)) {
    return;
  }
  const auto remembered = account.remembered.find(claim.instance);
  if (remembered != account.remembered.end() &&
      claim.generation == generation_ &&
      claim.incarnation == remembered->second.incarnation) {
    account.remembered.erase(remembered);
  }
  // The instance itself knows what it has claimed.
  const auto substitute = account.others.find(SubstituteName(claim.instance));
  if (substitute != account.others.end()) {
    ApplyOther(&account, substitute->second);
  }
}

void BudgetShares::ApplyOther(Account* account, BudgetClaim claim) {
  if (IsSubstituteName(claim.instance)) {
    const std::string instance = NameOfInstance(claim.instance);
    const auto own = account->others.find(instance);
    const bool replaced =
        instance == self_.instance
            ? claim.incarnation == self_.incarnation
            : own != account->others.end() &&
                  own->second.incarnation == claim.incarnation &&
                  own->second.generation >= claim.generation;
    if (replaced) {
      claim.claimed = claim.spent = claim.stranded = claim.locked = 0;
    }
  }
  BudgetClaim& known = account->others[claim.instance];
  account->others_claimed += claim.claimed - known.claimed;
  account->others_spent += claim.spent - known.spent;
  account->others_stranded += claim.stranded - known.stranded;
  known = std::move(claim);
}

void BudgetShares::Apply(const ShareLock& lock) {
  const std::string writer = NameOfInstance(lock.instance);
  // Under the own name, only a predecessor may have claims that are lost.
  if (writer != self_.instance ||
      (lock.incarnation != self_.incarnation && !restored_)) {
    int64_t& written =
        written_generations_.try_emplace(writer, -1).first->second;
    written = std::max(written, lock.generation);
  }
  if (lock.instance != self_.instance ||
      lock.incarnation == self_.incarnation || restored_) {
    return;
  }
  predecessor_lock_ = lock;
  for (auto& [name, account] : accounts_) {
    UpdateBase(&account);
  }
}

void BudgetShares::UpdateBase(Account* account) {
  // Records of the predecessor are applied only when it is fenced and appends
  // no more. If it ended while its newest lock held, it spent at most `locked`.
  const bool lock_held =
      predecessor_lock_ &&
      predecessor_lock_->incarnation == account->predecessor.incarnation &&
      predecessor_lock_->generation == generation_ && !self_.boot.empty() &&
      predecessor_lock_->boot == self_.boot &&
      predecessor_gone_at_ >= predecessor_lock_->at &&
      predecessor_gone_at_ < predecessor_lock_->at + kLockDuration;
  account->base_claimed =
      lock_held ? account->predecessor.locked : account->predecessor.claimed;
  account->base_spent = account->predecessor.spent;
}

void BudgetShares::ApplyOwn(Account* account, const BudgetClaim& claim) {
  if (claim.incarnation != self_.incarnation) {
    if (restored_) {
      // An older copy of a record that is known or was replaced.
      return;
    }
    CHECK_EQ(account->logged_claim, 0) << "event=predecessor_not_fenced";
    account->predecessor = claim;
    UpdateBase(account);
    return;
  }
  if (!account->recorded) {
    // What the log still has of this instance's claim.
    account->logged_claim = std::max<int64_t>(
        account->logged_claim, claim.claimed - account->base_claimed);
    return;
  }
  // An older record may claim more than this instance has kept since, and other
  // instances may have claimed the returned tokens in the meantime.
  if (claim.number == account->planned_number) {
    if (listing_) {
      listed_own_[claim.organisation] = claim;
    } else {
      DecideGrant(account, claim);
    }
  }
  CHECK_GE(account->granted, account->in_use())
      << "event=share_overspent organisation=" << claim.organisation;
}

void BudgetShares::DecideGrant(Account* account,
                               const BudgetClaim& claim) const {
  const int64_t own_claimed = claim.claimed - account->base_claimed;
  const int64_t max_own_claim =
      account->prepaid
          ? *account->prepaid - account->others_claimed -
                account->Unrecorded(generation_) - account->base_claimed
          : 0;
  account->logged_claim = own_claimed;
  account->granted =
      std::max(account->granted, std::min(own_claimed, max_own_claim));
  account->raise_undecided = false;
}

// --- Restores of the log ---------------------------------------------------

void BudgetShares::SetGeneration(Millis now, int64_t generation) {
  if (generation <= generation_) {
    return;
  }
  const bool restored = std::exchange(generation_, generation) >= 0;
  generation_at_ = now;
  if (restored) {
    // Before the first complete listing, nothing is known to be older.
    restored_ = synced_at_ >= Millis(0);
    OnRestored();
  }
}

void BudgetShares::OnRestored() {
  if (restored_) {
    written_generations_.erase(self_.instance);
  }
  batch_pending_ = false;
  pending_lock_at_ = {};
  for (auto& [name, account] : accounts_) {
    std::map<std::string, BudgetClaim> remembered;
    for (const auto& [instance, claim] : account.others) {
      if (!IsSubstituteName(instance)) {
        remembered[instance] = claim;
      }
    }
    for (const auto& [instance, claim] : account.others) {
      if (IsSubstituteName(instance)) {
        BudgetClaim& it = remembered[NameOfInstance(instance)];
        it.claimed += claim.claimed;
        it.incarnation = claim.incarnation;
      }
    }
    for (const auto& [instance, claim] : account.remembered) {
      // Not recorded again since an earlier restore.
      BudgetClaim& it = remembered[instance];
      it.claimed = std::max(it.claimed, claim.claimed);
      it.incarnation = claim.incarnation;
      it.number = std::max(it.number, claim.number);
    }
    account.remembered = std::move(remembered);
    account.others.clear();
    account.others_claimed = 0;
    account.others_spent = 0;
    account.others_stranded = 0;
    account.recorded = false;
    account.raise_undecided = false;
    account.logged_claim = 0;
    account.pending_claim.reset();
    account.pending_locked_limit.reset();
  }
}

int64_t BudgetShares::Account::Lost(const std::string& instance,
                                    const BudgetClaim& remembered_claim,
                                    int64_t generation) const {
  const auto listed = others.find(instance);
  if (listed == others.end()) {
    return remembered_claim.claimed;
  }
  const bool is_newer =
      listed->second.incarnation == remembered_claim.incarnation &&
      (listed->second.generation == generation ||
       listed->second.number >= remembered_claim.number);
  return is_newer ? 0
                  : std::max<int64_t>(
                        0, remembered_claim.claimed - listed->second.claimed);
}

int64_t BudgetShares::Account::Unrecorded(int64_t generation) const {
  int64_t sum = 0;
  for (const auto& [instance, claim] : remembered) {
    const auto substitute = others.find(SubstituteName(instance));
    const int64_t substituted =
        substitute == others.end() ? 0 : substitute->second.claimed;
    sum +=
        std::max<int64_t>(0, Lost(instance, claim, generation) - substituted);
  }
  return sum;
}

bool BudgetShares::IsSettled() const {
  return std::all_of(written_generations_.begin(), written_generations_.end(),
                     [&](const auto& it) { return it.second >= generation_; });
}

bool BudgetShares::NeedsSubstitutes() const {
  // Others may have written since the log was last read.
  if (synced_at_ - generation_at_ <
      (restored_ ? kSubstituteDelay : kSubstituteDelayAfterStart)) {
    return false;
  }
  return !IsSettled() ||
         std::any_of(accounts_.begin(), accounts_.end(), [&](const auto& it) {
           return it.second.Unrecorded(generation_) > 0;
         });
}

void BudgetShares::PlanSubstitutes(ClaimBatch* batch) const {
  std::set<std::string> names;
  for (const auto& [instance, written] : written_generations_) {
    if (written < generation_) {
      names.insert(instance);
    }
  }
  for (const auto& [name, account] : accounts_) {
    for (const auto& [instance, remembered] : account.remembered) {
      const auto known = account.others.find(SubstituteName(instance));
      const int64_t lost = account.Lost(instance, remembered, generation_);
      if (lost <= (known == account.others.end() ? 0 : known->second.claimed)) {
        continue;
      }
      BudgetClaim claim;
      claim.instance = SubstituteName(instance);
      claim.organisation = name;
      claim.incarnation = remembered.incarnation;
      claim.claimed = lost;
      claim.locked = lost;
      claim.stranded = lost;
      claim.generation = generation_;
      batch->substitute_claims.push_back(std::move(claim));
      names.insert(instance);
    }
  }
  for (const std::string& it : names) {
    ShareLock lock;
    lock.instance = SubstituteName(it);
    lock.generation = generation_;
    batch->substitute_locks.push_back(std::move(lock));
  }
}

void BudgetShares::BeginListing() {
  listing_ = true;
  listing_decides_ = !batch_pending_;
  listed_own_.clear();
}

void BudgetShares::EndListing() {
  CHECK(listing_) << "event=listing_not_begun";
  listing_ = false;
  for (auto& [name, account] : accounts_) {
    if (!account.recorded) {
      // When the log was restored is unknown, so the others may have raised
      // their claims already: what the log lacks is given up if it isn't in
      // use.
      account.granted = std::max(
          account.in_use(), std::min(account.granted, account.logged_claim));
    }
  }
  for (const auto& [name, claim] : listed_own_) {
    if (listing_decides_) {
      DecideGrant(&accounts_.at(name), claim);
    }
  }
}

bool BudgetShares::HasUndecidedRaise() const {
  return std::any_of(accounts_.begin(), accounts_.end(),
                     [](const auto& it) { return it.second.raise_undecided; });
}

void BudgetShares::OnSynced(Millis now) {
  synced_at_ = now;
  for (auto& [name, account] : accounts_) {
    UpdateRefusal(now, &account);
  }
}

void BudgetShares::UpdateRefusal(Millis now, Account* account) const {
  if (account->largest_refused > 0 &&
      Available(now, *account) >= account->largest_refused) {
    account->largest_refused = 0;
  }
}

// --- Requests --------------------------------------------------------------

int64_t BudgetShares::Available(Millis now, const Account& account) const {
  int64_t limit = account.granted;
  if (lock_at_ > Millis(0) && now < lock_at_ + kLockDuration) {
    limit = std::min(limit, account.locked_limit);
  }
  // It is unknown whether the pending batch was appended, so both locks hold.
  if (batch_pending_ && pending_lock_at_ > Millis(0) &&
      now < pending_lock_at_ + kLockDuration) {
    limit = std::min(
        limit, account.pending_locked_limit.value_or(account.locked_limit));
  }
  return std::max<int64_t>(0, limit + account.borrowed - account.used());
}

BudgetShares::Verdict BudgetShares::Reserve(Millis now,
                                            const std::string& organisation,
                                            int64_t tokens) {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end() || !it->second.prepaid) {
    return Verdict::kUnlimited;
  }
  Account& account = it->second;
  if (Available(now, account) < tokens) {
    account.largest_refused = std::max(account.largest_refused, tokens);
    account.refused_at = now;
    return Verdict::kInsufficient;
  }
  if (account.first_reservation_at == Millis(0)) {
    account.first_reservation_at = now;
  }
  const auto size = static_cast<double>(tokens);
  account.typical_size += (account.typical_size == 0 ? 1 : kTypicalSizeWeight) *
                          (size - account.typical_size);
  account.demand.Add(now, tokens);
  account.total_reserved += size;
  mean_size_ += kMeanSizeWeight * (size - mean_size_);
  mean_square_ += kMeanSizeWeight * (size * size - mean_square_);
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

// --- Loans -----------------------------------------------------------------

int64_t BudgetShares::Lend(Millis now,
                           const std::string& organisation,
                           int64_t tokens) {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end() || !it->second.prepaid) {
    return 0;
  }
  const int64_t lent = std::min(tokens, Available(now, it->second));
  it->second.lent += lent;
  return lent;
}

bool BudgetShares::AddLoan(Millis now,
                           const std::string& organisation,
                           int64_t tokens,
                           int64_t prepaid) {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end() || !it->second.prepaid ||
      *it->second.prepaid < prepaid) {
    return false;
  }
  it->second.borrowed += tokens;
  UpdateRefusal(now, &it->second);
  return true;
}

std::optional<int64_t> BudgetShares::Prepaid(
    const std::string& organisation) const {
  const auto it = accounts_.find(organisation);
  return it == accounts_.end() ? std::nullopt : it->second.prepaid;
}

std::vector<std::pair<std::string, int64_t>> BudgetShares::Lendable(
    Millis now) const {
  std::vector<std::pair<std::string, int64_t>> lendable;
  for (const auto& [name, account] : accounts_) {
    const int64_t available = account.prepaid ? Available(now, account) : 0;
    if (available > 0) {
      lendable.emplace_back(name, available);
    }
  }
  return lendable;
}

std::vector<std::pair<std::string, int64_t>> BudgetShares::UnusedLoans() const {
  std::vector<std::pair<std::string, int64_t>> loans;
  for (const auto& [name, account] : accounts_) {
    if (account.unused_loans() > 0) {
      loans.emplace_back(name, account.unused_loans());
    }
  }
  return loans;
}

bool BudgetShares::IsExhausted(Millis now,
                               const std::string& organisation,
                               int64_t tokens) const {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end() || !it->second.prepaid ||
      now - synced_at_ > kMaxSyncAge) {
    return false;
  }
  const Account& account = it->second;
  return *account.prepaid - account.others_spent - account.base_spent -
             account.spent <
         tokens;
}

// --- Sizes -----------------------------------------------------------------

double BudgetShares::DemandRate(Millis now, const Account& account) const {
  if (account.first_reservation_at == Millis(0)) {
    return 0;
  }
  // The smoothed rate began at zero and is too low at first; the divisor
  // corrects it for the time since the first reservation.
  const double age = std::max(
      kMinDemandSeconds,
      static_cast<double>((now - account.first_reservation_at).count()) / 1000);
  const double recent = account.demand.PerSecond(now) /
                        (1 - std::exp(-age / kDemandTimeConstantSeconds));
  // Between rare requests the recent rate decays to zero.
  return std::max(recent, account.total_reserved /
                              std::max(age, kDemandTimeConstantSeconds));
}

double BudgetShares::DemandWithMargin(Millis now,
                                      const Account& account,
                                      double seconds,
                                      double deviations) const {
  const double mean = DemandRate(now, account) * seconds;
  if (mean == 0) {
    return 0;
  }
  // Requests arrive independently, so the variance of their sum is proportional
  // to its mean.
  return mean + deviations * std::sqrt(mean * mean_square_ / mean_size_);
}

double BudgetShares::RemainingBudget(const Account& account) const {
  return static_cast<double>(std::max<int64_t>(
      0, *account.prepaid - account.others_spent - account.base_spent -
             account.spent - account.stranded() - account.others_stranded));
}

double BudgetShares::MinReturn(const Account& account) const {
  if (draining_) {
    return 0;
  }
  return RemainingBudget(account) * kIdleFraction / instances_ *
         (account.Unclaimed(generation_) < 0 ? kMinReturnFractionWhenOverclaimed
                                             : kMinReturnFraction);
}

int64_t BudgetShares::ShareTarget(Millis now, const Account& account) const {
  const auto prepaid = static_cast<double>(*account.prepaid);
  const auto own_spent =
      static_cast<double>(account.base_spent + account.spent);
  const double total_spent =
      own_spent + static_cast<double>(account.others_spent);
  const double remaining = RemainingBudget(account);
  const double uniform_prior = kUniformPriorFraction * prepaid / instances_;
  const double fair_share =
      remaining * (own_spent + uniform_prior) /
      (total_spent + uniform_prior * static_cast<double>(instances_));
  double wanted = draining_
                      ? DemandWithMargin(now, account, kDrainCoverSeconds, 0)
                      : std::max(DemandWithMargin(now, account, kCoverSeconds,
                                                  kCoverDeviations),
                                 remaining * kIdleFraction / instances_);
  // 0 at or below the low threshold, 1 at or above the high one.
  const double budget_level =
      std::clamp((remaining / std::max(1.0, prepaid) - kLowBudgetThreshold) /
                     (kHighBudgetThreshold - kLowBudgetThreshold),
                 0.0, 1.0);
  wanted = std::min(
      wanted, fair_share * (kMaxFairFractionAtLowBudget +
                            budget_level * (kMaxFairFractionAtHighBudget -
                                            kMaxFairFractionAtLowBudget)));
  if (wanted < account.typical_size) {
    // Not enough for one request: the remaining budget is claimed request by
    // request.
    wanted = 0;
  }
  return std::max(static_cast<int64_t>(wanted), account.largest_refused);
}

int64_t BudgetShares::LockTarget(Millis now, const Account& account) const {
  const double wanted =
      DemandWithMargin(now, account, kLockCoverSeconds, kLockCoverDeviations) +
      account.typical_size;
  return std::max(static_cast<int64_t>(wanted), account.largest_refused);
}

// --- Batches ---------------------------------------------------------------

BudgetClaim BudgetShares::MakeClaim(const std::string& name,
                                    Account* account,
                                    int64_t own_claimed,
                                    int64_t own_locked) const {
  BudgetClaim claim;
  claim.instance = self_.instance;
  claim.organisation = name;
  claim.incarnation = self_.incarnation;
  claim.number = ++account->planned_number;
  claim.claimed = account->base_claimed + own_claimed;
  claim.locked = account->base_claimed + own_locked;
  claim.spent = account->base_spent + account->spent;
  claim.stranded = account->stranded();
  claim.generation = generation_;
  return claim;
}

std::optional<BudgetClaim> BudgetShares::PlanAccount(Millis now,
                                                     const std::string& name,
                                                     Account* account) const {
  const int64_t in_use = account->in_use();
  const int64_t target = std::max<int64_t>(
      0, ShareTarget(now, *account) - account->unused_loans());
  const auto held = static_cast<double>(account->granted - in_use);
  const auto wanted = static_cast<double>(target);
  int64_t claimed = account->logged_claim;
  if (!account->recorded) {
    account->granted = std::max(account->granted, in_use);
    return MakeClaim(
        name, account, account->granted,
        std::clamp(account->locked_limit, in_use, account->granted));
  }
  const double return_above = wanted * (account->Unclaimed(generation_) < 0
                                            ? kReturnAboveWhenOverclaimed
                                            : kReturnAbove);
  if (account->raise_undecided || !IsSettled()) {
    // It is unknown how much of the last raise is granted, so that another one
    // would not help, or claims of others may be missing in the log.
  } else if ((held < wanted * kRefillBelow ||
              held < static_cast<double>(account->largest_refused)) &&
             account->Unclaimed(generation_) > 0) {
    claimed = std::max(account->logged_claim, in_use + target);
  } else if ((held > return_above && held - wanted > MinReturn(*account)) ||
             account->logged_claim > account->granted) {
    // Also withdraws the part of a claim that was not granted. The surplus is
    // given up before the append: once the lowered claim is on the log, other
    // instances may claim the returned tokens.
    account->granted = std::min(account->granted, in_use + target);
    claimed = std::min(account->logged_claim, account->granted);
  }
  const int64_t lock_target = LockTarget(now, *account);
  const auto spendable_in_lock =
      static_cast<double>(account->locked_limit - in_use);
  int64_t locked = account->locked_limit;
  if (spendable_in_lock < static_cast<double>(lock_target) * kRelockBelow ||
      spendable_in_lock > static_cast<double>(lock_target) * kRelockAbove ||
      spendable_in_lock < static_cast<double>(account->largest_refused)) {
    locked = in_use + lock_target;
  }
  // The tokens in use may exceed the limit of an expired lock.
  locked = std::clamp(locked, in_use, std::max(in_use, claimed));
  if (claimed == account->logged_claim && locked == account->locked_limit) {
    return std::nullopt;
  }
  return MakeClaim(name, account, claimed, locked);
}

std::optional<BudgetClaim> BudgetShares::PlanWithoutBudget(
    const std::string& name,
    Account* account) const {
  const int64_t in_use = account->in_use();
  if (account->locked_limit >= in_use &&
      (account->recorded || account->granted == 0)) {
    return std::nullopt;
  }
  return MakeClaim(name, account,
                   std::max(account->logged_claim, account->granted), in_use);
}

ClaimBatch BudgetShares::Plan(Millis now) {
  ClaimBatch batch;
  if (batch_pending_ || synced_at_ < Millis(0)) {
    return batch;
  }
  for (auto& [name, account] : accounts_) {
    if (now - account.refused_at > kRefusalLifetime) {
      account.largest_refused = 0;
    }
    if (const auto claim = account.prepaid
                               ? PlanAccount(now, name, &account)
                               : PlanWithoutBudget(name, &account)) {
      batch.has_raise =
          batch.has_raise ||
          claim->claimed > account.base_claimed + account.logged_claim;
      batch.claims.push_back(*claim);
    }
  }
  if (NeedsSubstitutes()) {
    PlanSubstitutes(&batch);
    // The records of others up to these decide.
    batch.has_raise = true;
  }
  const Millis interval = instances_ > kLargeFleetInstances
                              ? kLargeFleetLockInterval
                              : kLockInterval;
  if (!batch.claims.empty() || !batch.substitute_locks.empty() ||
      now - lock_at_ >= interval) {
    StartBatch(now, &batch);
  }
  return batch;
}

ClaimBatch BudgetShares::PlanReturn(Millis now) {
  ClaimBatch batch;
  if (batch_pending_ || synced_at_ < Millis(0)) {
    return batch;
  }
  for (auto& [name, account] : accounts_) {
    const int64_t in_use = account.in_use();
    // The lock of this batch holds for all accounts. Tokens in use may exceed
    // the limit of an expired lock, and a successor would count only the limit.
    if (account.logged_claim > in_use || account.locked_limit < in_use ||
        !account.recorded) {
      account.granted = in_use;
      batch.claims.push_back(MakeClaim(name, &account, in_use, in_use));
    }
  }
  if (!batch.claims.empty()) {
    StartBatch(now, &batch);
  }
  return batch;
}

void BudgetShares::StartBatch(Millis now, ClaimBatch* batch) {
  batch->lock = ShareLock{self_.instance, self_.incarnation, self_.boot, now,
                          generation_};
  pending_lock_at_ = now;
  batch_pending_ = true;
  for (const BudgetClaim& it : batch->claims) {
    Account& account = accounts_.at(it.organisation);
    account.pending_claim = it.claimed - account.base_claimed;
    account.pending_locked_limit = it.locked - account.base_claimed;
  }
}

void BudgetShares::OnAppended() {
  CHECK(batch_pending_) << "event=append_not_planned";
  batch_pending_ = false;
  lock_at_ = std::exchange(pending_lock_at_, Millis(0));
  for (auto& [name, account] : accounts_) {
    if (account.pending_locked_limit) {
      account.locked_limit =
          *std::exchange(account.pending_locked_limit, std::nullopt);
      const int64_t logged_claim =
          *std::exchange(account.pending_claim, std::nullopt);
      account.raise_undecided =
          account.raise_undecided || logged_claim > account.logged_claim;
      account.logged_claim = logged_claim;
      account.recorded = true;
    }
  }
}

bool BudgetShares::HasRecentRefusal(Millis now) const {
  return std::any_of(accounts_.begin(), accounts_.end(), [&](const auto& it) {
    return it.second.largest_refused > 0 &&
           now - it.second.refused_at <= kRefusalLifetime;
  });
}

BudgetShares::View BudgetShares::GetView(
    Millis now,
    const std::string& organisation) const {
  View view;
  const auto it = accounts_.find(organisation);
  if (it != accounts_.end() && it->second.prepaid) {
    view.available = Available(now, it->second);
    view.held = it->second.granted + it->second.borrowed - it->second.used();
    view.unclaimed = it->second.Unclaimed(generation_);
    view.log_age = now - synced_at_;
  }
  return view;
}

int64_t BudgetShares::TotalClaimed(const std::string& organisation) const {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end()) {
    return 0;
  }
  return it->second.others_claimed + it->second.base_claimed +
         it->second.logged_claim;
}

}  // namespace tamaracktrail
