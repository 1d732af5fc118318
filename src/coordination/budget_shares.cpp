#include "coordination/budget_shares.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamaracktrail {

namespace {

//! A share covers this much demand: instances are cut off from the platform for
//! up to about 9 s at a time.
constexpr double kCoverSeconds = 12;
//! And this many standard deviations of what comes in that time. Few requests
//! of very different sizes come to an instance from one organisation, the fewer
//! the more instances there are, so that the mean says little.
constexpr double kCoverDeviations = 1.5;

//! The same once the process is about to end: the balancer needs some 2 s to
//! notice, and the kept connections are told to close meanwhile.
constexpr double kDrainCoverSeconds = 2;

//! Part of its fair share of what is left that an instance holds at most. A
//! power loss of all instances strands what they hold, and an organisation near
//! its end must not lose all of the rest by it.
constexpr double kRichFairPart = 0.6;
constexpr double kPoorFairPart = 0.1;
//! Parts of the budget that are left where the one ends and the other begins.
constexpr double kRichLeft = 0.6;
constexpr double kPoorLeft = 0.25;

//! Part of what is left that all instances together hold without demand, so
//! that the first requests of an organisation need not wait for the log.
constexpr double kIdlePart = 0.02;

//! Weight of the assumption that all instances spend alike, against what they
//! have spent, as a part of the budget.
constexpr double kEvenPart = 0.03;

//! A share is filled up below this part of its target, and given back above
//! this multiple; the gap between them bounds the appends.
constexpr double kRefillBelow = 0.85;
constexpr double kGiveBackAbove = 1.25;
//! The same while the claims exceed the budget.
constexpr double kGiveBackWhenShort = 1.1;

//! Less than this part of what all may hold without demand is not worth a
//! record, which all instances read. While the claims exceed the budget, others
//! wait for the rests.
constexpr double kLeastReturnPart = 1;
constexpr double kLeastReturnPartWhenShort = 0.2;

//! A request that still waits asks again well within this time.
constexpr Millis kNeedLasts{300};

//! A look at the log counts as recent for this long.
constexpr Millis kRecentLook{1500};

//! How long a beat locks shares: a killed process is back within some 2 s, and
//! the newest beat is up to half a second old by then.
constexpr Millis kLockTime{3000};
//! Pace of beats of a few instances, and of many, whose records all read.
constexpr Millis kBeatPause{500};
constexpr Millis kManyBeatPause{1000};
constexpr int kManyInstances = 16;

//! The same for the locked part, and one request of usual size besides.
constexpr double kLockSeconds = 3.5;
constexpr double kLockDeviations = 0.5;
//! Bounds within which a lock is kept as it is.
constexpr double kRelockBelow = 0.5;
constexpr double kRelockAbove = 2;

//! Weight of one reservation in the usual size of its organisation, and in the
//! sizes of all.
constexpr double kUsualWeight = 0.1;
constexpr double kSizeWeight = 0.02;

//! Demand is not taken to be known before this.
constexpr double kLeastDemandSeconds = 0.7;
constexpr double kDemandSeconds = 5;

}  // namespace

BudgetShares::BudgetShares(Identity self) : self_(std::move(self)) {}

void BudgetShares::SetBudgets(const std::vector<Organisation>& organisations) {
  for (const Organisation& it : organisations) {
    Account& account = accounts_[it.name];
    const bool lowered =
        it.prepaid && account.prepaid && *it.prepaid < *account.prepaid;
    account.prepaid = it.prepaid;
    if (lowered) {
      account.accepted = account.in_use();
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
  BudgetClaim& known = account.others[claim.instance];
  account.others_claimed += claim.claimed - known.claimed;
  account.others_spent += claim.spent - known.spent;
  account.others_dead += claim.dead - known.dead;
  known = claim;
}

void BudgetShares::Apply(const BudgetBeat& beat) {
  if (beat.instance != self_.instance ||
      beat.incarnation == self_.incarnation) {
    return;
  }
  predecessor_beat_ = beat;
  for (auto& [name, account] : accounts_) {
    CountPredecessor(&account);
  }
}

void BudgetShares::CountPredecessor(Account* account) {
  // Only a fenced predecessor of the same name writes these records.
  const bool lock_held =
      predecessor_beat_ &&
      predecessor_beat_->incarnation == account->predecessor.incarnation &&
      !self_.boot.empty() && predecessor_beat_->boot == self_.boot &&
      alone_since_ >= predecessor_beat_->at &&
      alone_since_ < predecessor_beat_->at + kLockTime;
  account->base_claimed =
      lock_held ? account->predecessor.locked : account->predecessor.claimed;
  account->base_spent = account->predecessor.spent;
}

void BudgetShares::ApplyOwn(Account* account, const BudgetClaim& claim) {
  if (claim.incarnation != self_.incarnation) {
    CHECK_EQ(account->logged, 0) << "event=predecessor_not_fenced";
    account->predecessor = claim;
    CountPredecessor(account);
    return;
  }
  // An older record may stand above what was given up since, and others may
  // have taken that in the meantime.
  if (claim.number == account->number) {
    if (listing_) {
      listed_own_[claim.organisation] = claim;
    } else {
      Decide(account, claim);
    }
  }
  CHECK_GE(account->accepted, account->in_use())
      << "event=share_overspent organisation=" << claim.organisation;
}

void BudgetShares::Decide(Account* account, const BudgetClaim& claim) {
  const int64_t own = claim.claimed - account->base_claimed;
  const int64_t room =
      account->prepaid
          ? *account->prepaid - account->others_claimed - account->base_claimed
          : 0;
  account->logged = own;
  account->accepted = std::max(account->accepted, std::min(own, room));
  account->undecided = false;
}

void BudgetShares::BeginListing() {
  listing_ = true;
  listing_decides_ = !in_flight_;
  listed_own_.clear();
}

void BudgetShares::EndListing() {
  CHECK(listing_) << "event=listing_not_begun";
  listing_ = false;
  for (const auto& [name, claim] : listed_own_) {
    if (listing_decides_) {
      Decide(&accounts_.at(name), claim);
    }
  }
}

bool BudgetShares::HasUndecided() const {
  return std::any_of(accounts_.begin(), accounts_.end(),
                     [](const auto& it) { return it.second.undecided; });
}

void BudgetShares::OnSynced(Millis now) {
  synced_ = now;
  for (auto& [name, account] : accounts_) {
    if (account.needed > 0 && AvailableIn(now, account) >= account.needed) {
      account.needed = 0;
    }
  }
}

// --- Requests --------------------------------------------------------------

int64_t BudgetShares::AvailableIn(Millis now, const Account& account) const {
  int64_t limit = account.accepted;
  if (beat_at_ > Millis(0) && now < beat_at_ + kLockTime) {
    limit = std::min(limit, account.locked);
  }
  // Whether a batch on its way has arrived is not known: both locks hold.
  if (in_flight_ && next_beat_at_ > Millis(0) &&
      now < next_beat_at_ + kLockTime) {
    limit = std::min(limit, account.next_locked.value_or(account.locked));
  }
  return std::max<int64_t>(0, limit - account.in_use());
}

BudgetShares::Verdict BudgetShares::Reserve(Millis now,
                                            const std::string& organisation,
                                            int64_t tokens) {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end() || !it->second.prepaid) {
    return Verdict::kUnlimited;
  }
  Account& account = it->second;
  if (AvailableIn(now, account) < tokens) {
    account.needed = std::max(account.needed, tokens);
    account.needed_at = now;
    return Verdict::kShort;
  }
  if (account.first_demand == Millis(0)) {
    account.first_demand = now;
  }
  const auto size = static_cast<double>(tokens);
  account.usual +=
      (account.usual == 0 ? 1 : kUsualWeight) * (size - account.usual);
  account.demand.Add(now, tokens);
  account.asked += size;
  mean_size_ += kSizeWeight * (size - mean_size_);
  mean_square_ += kSizeWeight * (size * size - mean_square_);
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

// --- Sizes -----------------------------------------------------------------

double BudgetShares::DemandRate(Millis now, const Account& account) const {
  if (account.first_demand == Millis(0)) {
    return 0;
  }
  // A smoothed rate that began at zero is too low at first.
  const double age = std::max(
      kLeastDemandSeconds,
      static_cast<double>((now - account.first_demand).count()) / 1000);
  const double recent =
      account.demand.PerSecond(now) / (1 - std::exp(-age / kDemandSeconds));
  // Between rare requests the recent rate falls to nothing.
  return std::max(recent, account.asked / std::max(age, kDemandSeconds));
}

double BudgetShares::DemandIn(Millis now,
                              const Account& account,
                              double seconds,
                              double deviations) const {
  const double mean = DemandRate(now, account) * seconds;
  if (mean == 0) {
    return 0;
  }
  // Requests come independently: the variance of their sum grows with the mean.
  return mean + deviations * std::sqrt(mean * mean_square_ / mean_size_);
}

double BudgetShares::Left(const Account& account) const {
  return static_cast<double>(std::max<int64_t>(
      0, *account.prepaid - account.others_spent - account.base_spent -
             account.spent - account.dead() - account.others_dead));
}

double BudgetShares::LeastReturn(const Account& account) const {
  if (draining_) {
    return 0;
  }
  return Left(account) * kIdlePart / instances_ *
         (account.undrawn() < 0 ? kLeastReturnPartWhenShort : kLeastReturnPart);
}

int64_t BudgetShares::Target(Millis now, const Account& account) const {
  const auto prepaid = static_cast<double>(*account.prepaid);
  const auto own = static_cast<double>(account.base_spent + account.spent);
  const double all = own + static_cast<double>(account.others_spent);
  const double left = Left(account);
  const double even = kEvenPart * prepaid / instances_;
  const double fair =
      left * (own + even) / (all + even * static_cast<double>(instances_));
  double wanted =
      draining_
          ? DemandIn(now, account, kDrainCoverSeconds, 0)
          : std::max(DemandIn(now, account, kCoverSeconds, kCoverDeviations),
                     left * kIdlePart / instances_);
  const double wealth = std::clamp(
      (left / std::max(1.0, prepaid) - kPoorLeft) / (kRichLeft - kPoorLeft),
      0.0, 1.0);
  wanted = std::min(wanted, fair * (kPoorFairPart +
                                    wealth * (kRichFairPart - kPoorFairPart)));
  if (wanted < account.usual) {
    // Too little for one request: what is left is drawn request by request.
    wanted = 0;
  }
  return std::max(static_cast<int64_t>(wanted), account.needed);
}

int64_t BudgetShares::LockTarget(Millis now, const Account& account) const {
  const double wanted =
      DemandIn(now, account, kLockSeconds, kLockDeviations) + account.usual;
  return std::max(static_cast<int64_t>(wanted), account.needed);
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
  claim.number = ++account->number;
  claim.claimed = account->base_claimed + own_claimed;
  claim.locked = account->base_claimed + own_locked;
  claim.spent = account->base_spent + account->spent;
  claim.dead = account->dead();
  return claim;
}

std::optional<BudgetClaim> BudgetShares::PlanAccount(Millis now,
                                                     const std::string& name,
                                                     Account* account) const {
  const int64_t in_use = account->in_use();
  const int64_t target = Target(now, *account);
  const auto held = static_cast<double>(account->accepted - in_use);
  const auto wanted = static_cast<double>(target);
  int64_t claimed = account->logged;
  const double give_back_above =
      wanted * (account->undrawn() < 0 ? kGiveBackWhenShort : kGiveBackAbove);
  if (account->undecided) {
    // Nothing is known of what was asked for; asking again would not help.
  } else if ((held < wanted * kRefillBelow ||
              held < static_cast<double>(account->needed)) &&
             account->undrawn() > 0) {
    claimed = std::max(account->logged, in_use + target);
  } else if ((held > give_back_above &&
              held - wanted > LeastReturn(*account)) ||
             account->logged > account->accepted) {
    // Spending stops before the log hears of it.
    account->accepted = std::min(account->accepted, in_use + target);
    claimed = std::min(account->logged, account->accepted);
  }
  const int64_t lock = LockTarget(now, *account);
  const auto unlocked = static_cast<double>(account->locked - in_use);
  int64_t locked = account->locked;
  if (unlocked < static_cast<double>(lock) * kRelockBelow ||
      unlocked > static_cast<double>(lock) * kRelockAbove ||
      unlocked < static_cast<double>(account->needed)) {
    locked = in_use + lock;
  }
  // What is in use may exceed an old lock that has passed.
  locked = std::clamp(locked, in_use, std::max(in_use, claimed));
  if (claimed == account->logged && locked == account->locked) {
    return std::nullopt;
  }
  return MakeClaim(name, account, claimed, locked);
}

ClaimBatch BudgetShares::Plan(Millis now) {
  ClaimBatch batch;
  if (in_flight_ || synced_ < Millis(0)) {
    return batch;
  }
  for (auto& [name, account] : accounts_) {
    if (now - account.needed_at > kNeedLasts) {
      account.needed = 0;
    }
    if (!account.prepaid) {
      continue;
    }
    if (const auto claim = PlanAccount(now, name, &account)) {
      batch.raises = batch.raises ||
                     claim->claimed > account.base_claimed + account.logged;
      batch.claims.push_back(*claim);
    }
  }
  const Millis pause =
      instances_ > kManyInstances ? kManyBeatPause : kBeatPause;
  if (!batch.claims.empty() || now - beat_at_ >= pause) {
    Launch(now, &batch);
  }
  return batch;
}

ClaimBatch BudgetShares::PlanReturn(Millis now) {
  ClaimBatch batch;
  if (in_flight_ || synced_ < Millis(0)) {
    return batch;
  }
  for (auto& [name, account] : accounts_) {
    const int64_t in_use = account.in_use();
    if (account.logged > in_use) {
      account.accepted = in_use;
      batch.claims.push_back(MakeClaim(name, &account, in_use, in_use));
    }
  }
  if (!batch.claims.empty()) {
    Launch(now, &batch);
  }
  return batch;
}

void BudgetShares::Launch(Millis now, ClaimBatch* batch) {
  batch->beat = BudgetBeat{self_.instance, self_.incarnation, self_.boot, now};
  next_beat_at_ = now;
  in_flight_ = true;
  for (const BudgetClaim& it : batch->claims) {
    Account& account = accounts_.at(it.organisation);
    account.next_logged = it.claimed - account.base_claimed;
    account.next_locked = it.locked - account.base_claimed;
  }
}

void BudgetShares::OnAppended() {
  CHECK(in_flight_) << "event=append_not_planned";
  in_flight_ = false;
  beat_at_ = std::exchange(next_beat_at_, Millis(0));
  for (auto& [name, account] : accounts_) {
    if (account.next_locked) {
      account.locked = *std::exchange(account.next_locked, std::nullopt);
      const int64_t logged = *std::exchange(account.next_logged, std::nullopt);
      account.undecided = account.undecided || logged > account.logged;
      account.logged = logged;
    }
  }
}

bool BudgetShares::HasWaiting(Millis now) const {
  return std::any_of(accounts_.begin(), accounts_.end(), [&](const auto& it) {
    return it.second.needed > 0 && now - it.second.needed_at <= kNeedLasts;
  });
}

BudgetShares::View BudgetShares::Look(Millis now,
                                      const std::string& organisation) const {
  View view;
  const auto it = accounts_.find(organisation);
  if (it != accounts_.end() && it->second.prepaid) {
    view.available = AvailableIn(now, it->second);
    view.held = it->second.accepted - it->second.in_use();
    view.undrawn = it->second.undrawn();
    view.log_age = now - synced_;
  }
  return view;
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
