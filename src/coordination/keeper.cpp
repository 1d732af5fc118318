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
    if (it->second.claimed) {
      Reply(request, ResultCode::kOk, outbox);
    }
    return;
  }
  if (const std::optional<ResultCode> code = Obstacle(request, wall)) {
    Reply(request, *code, outbox);
    return;
  }
  Book& book = books_[request.organisation];
  book.largest = std::max(book.largest, request.tokens);
  book.queue.push_back({request, now + options_.reserve_wait});
  ServeQueue(now, request.organisation, outbox);
  Stock(now, request.organisation, outbox);
}

template <SharePolicy Policy>
std::optional<ResultCode> Keeper<Policy>::Obstacle(
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
  const auto same = [&](const ReserveRequest& it) {
    return it.key == request.key && it.organisation == request.organisation &&
           !suspected_.contains(it.entry);
  };
  for (const auto& [attempt, it] : reservations_) {
    if (same(it.request)) {
      return true;
    }
  }
  const auto book = books_.find(request.organisation);
  return book != books_.end() &&
         std::any_of(book->second.queue.begin(), book->second.queue.end(),
                     [&](const Waiting& it) { return same(it.request); });
}

template <SharePolicy Policy>
void Keeper<Policy>::Grant(Millis now,
                           const ReserveRequest& request,
                           Outbox& outbox) {
  books_[request.organisation].reserved += request.tokens;
  reservations_[request.attempt] =
      Reservation{request, !request.claim, now + options_.claim_wait,
                  now + options_.query_after};
  if (!request.claim) {
    Reply(request, ResultCode::kOk, outbox);
    return;
  }
  outbox.Append(Claim{request.organisation, request.key, request.attempt,
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
  Book& book = books_[it->second.request.organisation];
  book.reserved -= it->second.request.tokens;
  CHECK_GE(book.reserved, 0);
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
      << "a charge exceeds its reservation";
  EndReservation(charge.attempt);
  Book& book = books_[charge.organisation];
  book.pending_charges += charge.tokens;
  book.demand.Add(now, charge.tokens);
  pending_charges_[charge.attempt] = PendingCharge{
      charge.organisation, charge.key, charge.tokens, charge.entry};
  outbox.Append(charge);
  outbox.Send(charge.entry, SettleReply{charge.attempt});
  CheckBook(charge.organisation);
  ServeQueue(now, charge.organisation, outbox);
}

template <SharePolicy Policy>
void Keeper<Policy>::OnReservationEnd(Millis now,
                                      const ReservationEnd& end,
                                      Outbox& outbox) {
  if (end.abandon) {
    outbox.Append(Abandon{end.organisation, end.key, end.attempt});
  }
  Book& book = books_[end.organisation];
  std::erase_if(book.queue, [&](const Waiting& it) {
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
      << "this instance's shares were released while it runs";
  touched_.clear();
  for (size_t i = 0; i < batch.batch.records.size(); ++i) {
    std::visit(
        [&](const auto& it) {
          On(now, it, batch, batch.verdicts[i], outbox);
          if constexpr (requires { it.organisation; }) {
            touched_.insert(it.organisation);
          }
        },
        batch.batch.records[i]);
  }
  for (const std::string& it : touched_) {
    if (books_.contains(it)) {
      CheckBook(it);
      ServeQueue(now, it, outbox);
      Stock(now, it, outbox);
    }
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::On(Millis,
                        const Charge& record,
                        const AppliedBatch&,
                        FoldVerdict verdict,
                        Outbox& outbox) {
  // A fenced append settles nothing: this keeper's own one may follow.
  if (record.holder != self_ || verdict == FoldVerdict::kHolderExited) {
    return;
  }
  // The charge may have been appended by another custodian.
  EndReservation(record.attempt);
  auto it = pending_charges_.find(record.attempt);
  if (it != pending_charges_.end()) {
    books_[record.organisation].pending_charges -= it->second.tokens;
    pending_charges_.erase(it);
  }
  outbox.Send(record.entry, ChargeConfirmed{record.attempt});
  if (record.entry != self_) {
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
  Book& book = books_[record.organisation];
  book.draws_in_flight -= record.tokens;
  if (verdict == FoldVerdict::kAccepted) {
    book.drawn += record.tokens;
    book.want_offset.reset();
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
  CHECK(verdict == FoldVerdict::kAccepted) << "a return exceeded its share";
  Book& book = books_[record.organisation];
  book.pending_returns -= record.tokens;
  CHECK_GE(book.pending_returns, 0);
}

template <SharePolicy Policy>
void Keeper<Policy>::On(Millis now,
                        const Want& record,
                        const AppliedBatch& batch,
                        FoldVerdict,
                        Outbox& outbox) {
  auto it = books_.find(record.organisation);
  if (record.holder == self_) {
    if (it != books_.end() && !it->second.want_offset.has_value()) {
      it->second.want_offset = batch.offset;
    }
    return;
  }
  if (it == books_.end()) {
    return;
  }
  // Of two keepers that are both short, the one whose want came first keeps.
  const Book& book = it->second;
  if (!book.queue.empty() && book.want_offset.has_value()) {
    return;
  }
  const StockView view = ViewOf(now, record.organisation);
  GiveBack(record.organisation, policy_.Yield(view, record.tokens), outbox);
}

template <SharePolicy Policy>
void Keeper<Policy>::On(Millis,
                        const Claim& record,
                        const AppliedBatch&,
                        FoldVerdict verdict,
                        Outbox& outbox) {
  auto it = reservations_.find(record.attempt);
  if (it == reservations_.end() || it->second.claimed) {
    return;
  }
  const ReserveRequest request = it->second.request;
  if (verdict == FoldVerdict::kAccepted) {
    it->second.claimed = true;
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
  for (auto& [organisation, book] : books_) {
    std::erase_if(book.queue,
                  [&](const Waiting& it) { return it.request.entry == entry; });
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
    FreeEntry(record.entry);
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::FreeEntry(uint64_t entry) {
  std::vector<uint64_t> attempts;
  for (const auto& [attempt, it] : reservations_) {
    if (it.request.entry == entry) {
      attempts.push_back(attempt);
      touched_.insert(it.request.organisation);
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
  for (auto& [organisation, book] : books_) {
    ExpireQueue(now, organisation, outbox);
    if (!book.queue.empty()) {
      Stock(now, organisation, outbox);
      continue;
    }
    const int64_t available = Available(organisation);
    GiveBack(organisation,
             serving ? policy_.Surplus(ViewOf(now, organisation)) : available,
             outbox);
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::ExpireClaims(Millis now, Outbox& outbox) {
  std::vector<ReserveRequest> late;
  for (const auto& [attempt, it] : reservations_) {
    if (!it.claimed && now >= it.claim_deadline) {
      late.push_back(it.request);
    }
  }
  for (const ReserveRequest& it : late) {
    // The claim may still take effect; the entry never dispatches it.
    EndReservation(it.attempt);
    outbox.Append(Abandon{it.organisation, it.key, it.attempt});
    Reply(it, ResultCode::kLogUnavailable, outbox);
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::QueryEntries(Millis now, Outbox& outbox) {
  std::map<uint64_t, ReservationQuery> queries;
  for (auto& [attempt, it] : reservations_) {
    if (it.claimed && now >= it.query_at) {
      it.query_at = now + options_.query_after;
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
  std::deque<Waiting>& queue = books_[organisation].queue;
  while (!queue.empty() && now >= queue.front().deadline) {
    const ReserveRequest request = queue.front().request;
    queue.pop_front();
    Reply(request, RefusalCode(request), outbox);
  }
}

template <SharePolicy Policy>
ResultCode Keeper<Policy>::RefusalCode(const ReserveRequest& request) const {
  const Budget& budget = fold_->BudgetOf(request.organisation);
  if (budget.prepaid - budget.charged < request.tokens) {
    return ResultCode::kBudgetExhausted;
  }
  const auto book = books_.find(request.organisation);
  const bool log_silent =
      book != books_.end() && book->second.draws_in_flight > 0;
  return log_silent ? ResultCode::kBudgetUnavailable
                    : ResultCode::kBudgetHeldElsewhere;
}

template <SharePolicy Policy>
StockView Keeper<Policy>::ViewOf(Millis now,
                                 const std::string& organisation) const {
  const Budget& budget = fold_->BudgetOf(organisation);
  StockView view;
  view.prepaid = budget.prepaid;
  view.undrawn = budget.undrawn;
  view.share = budget.Share(self_);
  view.available = Available(organisation);
  view.data_centres = options_.data_centres;
  auto it = books_.find(organisation);
  if (it != books_.end()) {
    view.drawn = it->second.drawn;
    view.largest = it->second.largest;
    view.demand = it->second.demand.PerSecond(now);
    for (const Waiting& waiting : it->second.queue) {
      view.queued += waiting.request.tokens;
    }
  }
  return view;
}

template <SharePolicy Policy>
void Keeper<Policy>::Stock(Millis now,
                           const std::string& organisation,
                           Outbox& outbox) {
  Book& book = books_[organisation];
  if (book.draws_in_flight > 0) {
    return;
  }
  const StockView view = ViewOf(now, organisation);
  // A keeper that hands over draws for waiting requests only.
  const int64_t queued =
      std::clamp<int64_t>(view.queued - view.available, 0, view.undrawn);
  const int64_t draw = serving_ ? policy_.Draw(view) : queued;
  if (draw > 0) {
    book.draws_in_flight += draw;
    outbox.Append(Draw{organisation, self_, draw});
  }
  const int64_t missing = view.queued - view.available - draw;
  const bool due = !book.wanted_at.has_value() ||
                   now >= *book.wanted_at + options_.want_interval;
  if (missing > 0 && due && policy_.asks_others()) {
    book.wanted_at = now;
    outbox.Append(Want{organisation, self_, missing});
  }
}

template <SharePolicy Policy>
void Keeper<Policy>::GiveBack(const std::string& organisation,
                              int64_t tokens,
                              Outbox& outbox) {
  if (tokens <= 0) {
    return;
  }
  CHECK_LE(tokens, Available(organisation));
  books_[organisation].pending_returns += tokens;
  outbox.Append(Return{organisation, self_, tokens});
}

template <SharePolicy Policy>
void Keeper<Policy>::ServeQueue(Millis now,
                                const std::string& organisation,
                                Outbox& outbox) {
  Book& book = books_[organisation];
  while (!book.queue.empty() &&
         book.queue.front().request.tokens <= Available(organisation)) {
    const ReserveRequest request = book.queue.front().request;
    book.queue.pop_front();
    Grant(now, request, outbox);
  }
  if (book.queue.empty()) {
    book.want_offset.reset();
  }
  CheckBook(organisation);
}

template <SharePolicy Policy>
int64_t Keeper<Policy>::Available(const std::string& organisation) const {
  const int64_t share = fold_->BudgetOf(organisation).Share(self_);
  auto it = books_.find(organisation);
  if (it == books_.end()) {
    return share;
  }
  const Book& book = it->second;
  return share - book.reserved - book.pending_charges - book.pending_returns;
}

template <SharePolicy Policy>
void Keeper<Policy>::CheckBook(const std::string& organisation) const {
  CHECK_GE(Available(organisation), 0)
      << "organisation=" << organisation << " is promised more than its share";
}

template <SharePolicy Policy>
int64_t Keeper<Policy>::reserved() const {
  int64_t sum = 0;
  for (const auto& [organisation, book] : books_) {
    sum += book.reserved;
  }
  return sum;
}

template <SharePolicy Policy>
size_t Keeper<Policy>::queue_length() const {
  size_t n = 0;
  for (const auto& [organisation, book] : books_) {
    n += book.queue.size();
  }
  return n;
}

template class Keeper<EscrowPolicy>;
template class Keeper<StaticSplitPolicy>;
template class Keeper<DrawEachPolicy>;

}  // namespace tamaracktrail
