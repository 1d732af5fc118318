#include "coordination/keeper.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <glog/logging.h>

#include "coordination/draw_each_policy.h"
#include "coordination/escrow_policy.h"
#include "coordination/static_split_policy.h"

namespace tamaracktrail {

template <SharePolicy Policy>
Keeper<Policy>::Keeper(uint64_t self,
                       Policy policy,
                       Options options,
                       const LedgerFold* fold)
    : self_(self), policy_(std::move(policy)), options_(options), fold_(fold) {
  CHECK_GT(options_.data_centres, 0);
}

template <SharePolicy Policy>
void Keeper<Policy>::OnReserve(Millis now,
                               Millis wall,
                               const ReserveRequest& request,
                               Outbox& outbox) {
  if (auto it = reservations_.find(request.attempt);
      it != reservations_.end()) {
    if (it->second.granted) {
      Reply(request, ResultCode::kOk, outbox);
    }
    return;
  }
  if (const std::optional<ResultCode> code = ImmediateRefusal(request, wall)) {
    Reply(request, *code, outbox);
    return;
  }
  Account& account = accounts_[request.organisation];
  account.largest_request = std::max(account.largest_request, request.tokens);
  account.queue.push_back({request, now + options_.reserve_wait});
  ServeQueue(now, request.organisation, outbox);
  DrawOrRequestTokens(now, request.organisation, outbox);
}

template <SharePolicy Policy>
std::optional<ResultCode> Keeper<Policy>::ImmediateRefusal(
    const ReserveRequest& request,
    Millis wall) const {
  if (fold_->KeyTooOld(request.key, wall)) {
    return ResultCode::kKeyTooOld;
  }
  const KeyState state = fold_->KeyOf(request.organisation, request.key);
  switch (state.phase) {
    case KeyState::Phase::kCharged:
      return ResultCode::kAlreadyBilled;
    case KeyState::Phase::kDone:
      return ResultCode::kAlreadyRan;
    case KeyState::Phase::kClaimed:
      return ResultCode::kOutcomeUnknown;
    case KeyState::Phase::kNone:
      break;
  }
  for (const auto& [attempt, pending] : pending_charges_) {
    if (pending.key == request.key &&
        pending.organisation == request.organisation) {
      return ResultCode::kAlreadyBilled;
    }
  }
  if (InProgress(request)) {
    return ResultCode::kRequestInProgress;
  }
  const Budget& budget = fold_->BudgetOf(request.organisation);
  if (budget.prepaid - budget.charged < request.tokens) {
    return ResultCode::kBudgetExhausted;
  }
  return std::nullopt;
}

template <SharePolicy Policy>
bool Keeper<Policy>::InProgress(const ReserveRequest& request) const {
  const auto blocks_request = [&](const ReserveRequest& it) {
    return it.key == request.key && it.organisation == request.organisation &&
           !suspected_.contains(it.entry);
  };
  for (const auto& [attempt, it] : reservations_) {
    if (blocks_request(it.request)) {
      return true;
    }
  }
  const auto account = accounts_.find(request.organisation);
  return account != accounts_.end() &&
         std::any_of(account->second.queue.begin(), account->second.queue.end(),
                     [&](const QueuedRequest& it) {
                       return blocks_request(it.request);
                     });
}

template <SharePolicy Policy>
void Keeper<Policy>::Grant(Millis now,
                           const ReserveRequest& request,
                           Outbox& outbox) {
  accounts_[request.organisation].reserved += request.tokens;
  reservations_[request.attempt] =
      Reservation{request, !request.claim, now + options_.claim_wait,
                  now + options_.query_interval};
  if (!request.claim) {
    Reply(request, ResultCode::kOk, outbox);
    return;
  }
  outbox.Append(RunClaim{request.organisation, request.key, request.attempt,
                         request.entry, request.service});
}

template <SharePolicy Policy>
void Keeper<Policy>::Reply(const ReserveRequest& request,
                           ResultCode code,
                           Outbox& outbox) {
  outbox.Send(request.entry,
              ReserveReply{request.attempt, static_cast<int32_t>(code), self_,
                           request.tokens});
}

template <SharePolicy Policy>
void Keeper<Policy>::EndReservation(uint64_t attempt) {
  auto it = reservations_.find(attempt);
  if (it == reservations_.end()) {
    return;
  }
  Account& account = accounts_[it->second.request.organisation];
  account.reserved -= it->second.request.tokens;
  CHECK_GE(account.reserved, 0);
  reservations_.erase(it);
}

template <SharePolicy Policy>
void Keeper<Policy>::OnSettle(Millis now,
                              const SettleRequest& request,
                              Outbox& outbox) {
  const Charge& charge = request.charge;
  CHECK_EQ(charge.holder, self_);
  const auto it = reservations_.find(charge.attempt);
  if (it == reservations_.end()) {
    const KeyState state = fold_->KeyOf(charge.organisation, charge.key);
    const bool held = pending_charges_.contains(charge.attempt) ||
                      state.phase == KeyState::Phase::kCharged;
    if (held) {
      outbox.Send(charge.entry, SettleReply{charge.attempt});
    }
    return;
  }
  CHECK_LE(charge.tokens, it->second.request.tokens)
      << "charge exceeds its reservation";
  EndReservation(charge.attempt);
  Account& account = accounts_[charge.organisation];
  account.pending_charges += charge.tokens;
  account.demand.Add(now, charge.tokens);
  pending_charges_[charge.attempt] = PendingCharge{
      charge.organisation, charge.key, charge.tokens, charge.entry};
  outbox.Append(charge);
  outbox.Send(charge.entry, SettleReply{charge.attempt});
  CheckBalance(charge.organisation);
  ServeQueue(now, charge.organisation, outbox);
}

template <SharePolicy Policy>
void Keeper<Policy>::OnReservationEnd(Millis now,
                                      const ReservationEnd& end,
                                      Outbox& outbox) {
  if (end.abandon) {
    outbox.Append(Abandon{end.organisation, end.key, end.attempt});
  }
  Account& account = accounts_[end.organisation];
  std::erase_if(account.queue, [&](const QueuedRequest& it) {
    return it.request.attempt == end.attempt;
  });
  EndReservation(end.attempt);
  ServeQueue(now, end.organisation, outbox);
}

template <SharePolicy Policy>
void Keeper<Policy>::OnApplied(Millis now,
                               const AppliedBatch& batch,
                               Outbox& outbox) {
  CHECK(!fold_->HolderExited(self_))
      << "shares of this instance were released while it is running";
  updated_organisations_.clear();
  for (size_t i = 0; i < batch.batch.records.size(); ++i) {
    std::visit(
        [&](const auto& it) {
          On(now, it, batch, batch.verdicts[i], outbox);
          if constexpr (requires { it.organisation; }) {
            updated_organisations_.insert(it.organisation);
          }
        },
        batch.batch.records[i]);
  }
  for (const std::string& it : updated_organisations_) {
    if (accounts_.contains(it)) {
      CheckBalance(it);
      ServeQueue(now, it, outbox);
      DrawOrRequestTokens(now, it, outbox);
    }
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::On(Millis,
                        const Charge& record,
                        const AppliedBatch&,
                        FoldVerdict verdict,
                        Outbox& outbox) {
  // The fold has voided this append, because its writer is fenced or the holder
  // released. It does not settle the reservation: this keeper's own append of
  // the charge may follow.
  if (record.holder != self_ || verdict == FoldVerdict::kHolderExited) {
    return;
  }
  // Another instance with custody of the charge may have appended it before
  // this keeper learned of it.
  EndReservation(record.attempt);
  auto it = pending_charges_.find(record.attempt);
  if (it != pending_charges_.end()) {
    accounts_[record.organisation].pending_charges -= it->second.tokens;
    pending_charges_.erase(it);
  }
  outbox.Send(record.entry, ChargeConfirmed{record.attempt});
  if (record.entry != self_) {
    // This instance may have the charge in custody too.
    outbox.Send(self_, ChargeConfirmed{record.attempt});
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::On(Millis,
                        const Draw& record,
                        const AppliedBatch& batch,
                        FoldVerdict verdict,
                        Outbox&) {
  if (record.holder != self_ || batch.batch.writer != self_) {
    return;
  }
  Account& account = accounts_[record.organisation];
  account.pending_draws -= record.tokens;
  if (verdict == FoldVerdict::kAccepted) {
    account.drawn += record.tokens;
    account.share_request_offset.reset();
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::On(Millis,
                        const Return& record,
                        const AppliedBatch& batch,
                        FoldVerdict verdict,
                        Outbox&) {
  if (record.holder != self_ || batch.batch.writer != self_) {
    return;
  }
  CHECK(verdict == FoldVerdict::kAccepted) << "return record exceeds the share";
  Account& account = accounts_[record.organisation];
  account.pending_returns -= record.tokens;
  CHECK_GE(account.pending_returns, 0);
}

template <SharePolicy Policy>
void Keeper<Policy>::On(Millis now,
                        const ShareRequest& record,
                        const AppliedBatch& batch,
                        FoldVerdict,
                        Outbox& outbox) {
  auto it = accounts_.find(record.organisation);
  if (record.holder == self_) {
    if (it != accounts_.end() && !it->second.share_request_offset.has_value()) {
      it->second.share_request_offset = batch.offset;
    }
    return;
  }
  if (it == accounts_.end()) {
    return;
  }
  // If both keepers have queued requests, the one whose share request is first
  // on the log retains its tokens.
  const Account& account = it->second;
  if (!account.queue.empty() && account.share_request_offset.has_value()) {
    return;
  }
  const ShareView view = ViewOf(now, record.organisation);
  ReturnTokens(record.organisation, policy_.Yield(view, record.tokens), outbox);
}

template <SharePolicy Policy>
void Keeper<Policy>::On(Millis,
                        const RunClaim& record,
                        const AppliedBatch&,
                        FoldVerdict verdict,
                        Outbox& outbox) {
  auto it = reservations_.find(record.attempt);
  if (it == reservations_.end() || it->second.granted) {
    return;
  }
  const ReserveRequest request = it->second.request;
  if (verdict == FoldVerdict::kAccepted) {
    it->second.granted = true;
    Reply(request, ResultCode::kOk, outbox);
    return;
  }
  EndReservation(record.attempt);
  const KeyState state = fold_->KeyOf(record.organisation, record.key);
  switch (state.phase) {
    case KeyState::Phase::kCharged:
      Reply(request, ResultCode::kAlreadyBilled, outbox);
      return;
    case KeyState::Phase::kDone:
      Reply(request, ResultCode::kAlreadyRan, outbox);
      return;
    default:
      Reply(request, ResultCode::kOutcomeUnknown, outbox);
      return;
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::OnEntryExit(uint64_t entry, Outbox& outbox) {
  for (auto& [organisation, account] : accounts_) {
    std::erase_if(account.queue, [&](const QueuedRequest& it) {
      return it.request.entry == entry;
    });
  }
  const bool reserves = std::any_of(
      reservations_.begin(), reservations_.end(),
      [&](const auto& it) { return it.second.request.entry == entry; });
  if (reserves) {
    outbox.Append(Fence{self_, entry});
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::On(Millis,
                        const Fence& record,
                        const AppliedBatch&,
                        FoldVerdict,
                        Outbox&) {
  if (record.holder == self_) {
    EndReservationsOf(record.entry);
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::EndReservationsOf(uint64_t entry) {
  std::vector<uint64_t> attempts;
  for (const auto& [attempt, it] : reservations_) {
    if (it.request.entry == entry) {
      attempts.push_back(attempt);
      updated_organisations_.insert(it.request.organisation);
    }
  }
  for (const uint64_t it : attempts) {
    EndReservation(it);
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::OnTick(Millis now, bool serving, Outbox& outbox) {
  serving_ = serving;
  ExpireClaims(now, outbox);
  QueryEntries(now, outbox);
  for (auto& [organisation, account] : accounts_) {
    ExpireQueue(now, organisation, outbox);
    if (!account.queue.empty()) {
      DrawOrRequestTokens(now, organisation, outbox);
      continue;
    }
    const int64_t available = Available(organisation);
    ReturnTokens(
        organisation,
        serving ? policy_.Surplus(ViewOf(now, organisation)) : available,
        outbox);
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::ExpireClaims(Millis now, Outbox& outbox) {
  std::vector<ReserveRequest> expired;
  for (const auto& [attempt, it] : reservations_) {
    if (!it.granted && now >= it.claim_deadline) {
      expired.push_back(it.request);
    }
  }
  for (const ReserveRequest& it : expired) {
    // The claim may still be accepted later, but the entry never dispatches its
    // call, so it can be abandoned.
    EndReservation(it.attempt);
    outbox.Append(Abandon{it.organisation, it.key, it.attempt});
    Reply(it, ResultCode::kLogUnavailable, outbox);
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::QueryEntries(Millis now, Outbox& outbox) {
  std::map<uint64_t, ReservationQuery> queries;
  for (auto& [attempt, it] : reservations_) {
    if (it.granted && now >= it.next_query_at) {
      it.next_query_at = now + options_.query_interval;
      queries[it.request.entry].attempts.push_back(attempt);
    }
  }
  for (auto& [entry, query] : queries) {
    outbox.Send(entry, std::move(query));
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::ExpireQueue(Millis now,
                                 const std::string& organisation,
                                 Outbox& outbox) {
  std::deque<QueuedRequest>& queue = accounts_[organisation].queue;
  while (!queue.empty() && now >= queue.front().deadline) {
    const ReserveRequest request = queue.front().request;
    queue.pop_front();
    Reply(request, QueueTimeoutCode(request), outbox);
  }
}

template <SharePolicy Policy>
ResultCode Keeper<Policy>::QueueTimeoutCode(
    const ReserveRequest& request) const {
  const Budget& budget = fold_->BudgetOf(request.organisation);
  if (budget.prepaid - budget.charged < request.tokens) {
    return ResultCode::kBudgetExhausted;
  }
  const auto account = accounts_.find(request.organisation);
  const bool draw_pending =
      account != accounts_.end() && account->second.pending_draws > 0;
  return draw_pending ? ResultCode::kBudgetUnavailable
                      : ResultCode::kBudgetHeldElsewhere;
}

template <SharePolicy Policy>
ShareView Keeper<Policy>::ViewOf(Millis now,
                                 const std::string& organisation) const {
  const Budget& budget = fold_->BudgetOf(organisation);
  ShareView view;
  view.prepaid = budget.prepaid;
  view.undrawn = budget.undrawn;
  view.share = budget.Share(self_);
  view.available = Available(organisation);
  view.data_centres = options_.data_centres;
  auto it = accounts_.find(organisation);
  if (it != accounts_.end()) {
    view.drawn = it->second.drawn;
    view.largest_request = it->second.largest_request;
    view.demand_per_second = it->second.demand.PerSecond(now);
    for (const QueuedRequest& queued : it->second.queue) {
      view.queued_tokens += queued.request.tokens;
    }
  }
  return view;
}

template <SharePolicy Policy>
void Keeper<Policy>::DrawOrRequestTokens(Millis now,
                                         const std::string& organisation,
                                         Outbox& outbox) {
  Account& account = accounts_[organisation];
  if (account.pending_draws > 0) {
    return;
  }
  const ShareView view = ViewOf(now, organisation);
  // A keeper that has stopped serving draws only what queued requests need.
  const int64_t queued =
      std::clamp<int64_t>(view.queued_tokens - view.available, 0, view.undrawn);
  const int64_t draw = serving_ ? policy_.Draw(view) : queued;
  if (draw > 0) {
    account.pending_draws += draw;
    outbox.Append(Draw{organisation, self_, draw});
  }
  const int64_t shortfall = view.queued_tokens - view.available - draw;
  const bool request_due =
      !account.share_requested_at.has_value() ||
      now >= *account.share_requested_at + options_.share_request_interval;
  if (shortfall > 0 && request_due && policy_.requests_from_others()) {
    account.share_requested_at = now;
    outbox.Append(ShareRequest{organisation, self_, shortfall});
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::ReturnTokens(const std::string& organisation,
                                  int64_t tokens,
                                  Outbox& outbox) {
  if (tokens <= 0) {
    return;
  }
  CHECK_LE(tokens, Available(organisation));
  accounts_[organisation].pending_returns += tokens;
  outbox.Append(Return{organisation, self_, tokens});
}

template <SharePolicy Policy>
void Keeper<Policy>::ServeQueue(Millis now,
                                const std::string& organisation,
                                Outbox& outbox) {
  Account& account = accounts_[organisation];
  while (!account.queue.empty() &&
         account.queue.front().request.tokens <= Available(organisation)) {
    const ReserveRequest request = account.queue.front().request;
    account.queue.pop_front();
    Grant(now, request, outbox);
  }
  if (account.queue.empty()) {
    account.share_request_offset.reset();
  }
  CheckBalance(organisation);
}

template <SharePolicy Policy>
int64_t Keeper<Policy>::Available(const std::string& organisation) const {
  const int64_t share = fold_->BudgetOf(organisation).Share(self_);
  auto it = accounts_.find(organisation);
  if (it == accounts_.end()) {
    return share;
  }
  const Account& account = it->second;
  return share - account.reserved - account.pending_charges -
         account.pending_returns;
}

template <SharePolicy Policy>
void Keeper<Policy>::CheckBalance(const std::string& organisation) const {
  CHECK_GE(Available(organisation), 0)
      << "organisation=" << organisation
      << " reservations, pending charges and returns exceed the share";
}

template <SharePolicy Policy>
int64_t Keeper<Policy>::reserved() const {
  int64_t sum = 0;
  for (const auto& [organisation, account] : accounts_) {
    sum += account.reserved;
  }
  return sum;
}

template <SharePolicy Policy>
size_t Keeper<Policy>::queue_length() const {
  size_t n = 0;
  for (const auto& [organisation, account] : accounts_) {
    n += account.queue.size();
  }
  return n;
}

template class Keeper<EscrowPolicy>;
template class Keeper<StaticSplitPolicy>;
template class Keeper<DrawEachPolicy>;

}  // namespace tamaracktrail
