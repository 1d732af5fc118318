#include "coordination/ledger_shard.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace tamaracktrail {

namespace {

//! Keepers outside the designated data centre write a snapshot only after this
//! multiple of the records.
constexpr uint64_t kSnapshotOverdueFactor = 3;

}  // namespace

LedgerShard::LedgerShard(uint64_t self,
                         uint32_t number,
                         const Options& options,
                         const BatchCodec* codec)
    : self_(self),
      number_(number),
      options_(options),
      view_(codec, LedgerFold(options.key_window)),
      writer_(self, codec, options.writer),
      keeper_(self,
              EscrowPolicy(options.hold, options.cover),
              options.keeper,
              &view_.fold()) {}

std::string LedgerShard::StreamName(uint32_t number) {
  return absl::StrCat("ledger-", number);
}

std::string LedgerShard::stream() const {
  return StreamName(number_);
}

void LedgerShard::OnEntries(Millis now,
                            std::span<const LogEntry> entries,
                            bool at_end,
                            Outbox& outbox) {
  for (const LogEntry& entry : entries) {
    for (const AppliedBatch& it : view_.Feed(entry)) {
      records_since_snapshot_ += it.batch.records.size();
      for (const Record& record : it.batch.records) {
        if (std::holds_alternative<LedgerSnapshot>(record)) {
          records_since_snapshot_ = 0;
        }
      }
      keeper_.OnApplied(now, it, outbox);
    }
  }
  writer_.OnReadBack(view_.chains().LastSequence(self_));
  caught_up_ = caught_up_ || (at_end && view_.live());
}

void LedgerShard::OnReserve(Millis now,
                            Millis wall,
                            const ReserveRequest& request,
                            Outbox& outbox) {
  if (!caught_up_) {
    queued_requests_.push_back({request, now + options_.keeper.reserve_wait});
    return;
  }
  keeper_.OnReserve(now, wall, request, outbox);
}

void LedgerShard::OnSettle(Millis now,
                           const SettleRequest& request,
                           Outbox& outbox) {
  keeper_.OnSettle(now, request, outbox);
}

void LedgerShard::OnReservationEnd(Millis now,
                                   const ReservationEnd& end,
                                   Outbox& outbox) {
  std::erase_if(queued_requests_, [&](const QueuedRequest& it) {
    return it.request.attempt == end.attempt;
  });
  keeper_.OnReservationEnd(now, end, outbox);
}

void LedgerShard::OnEntryExit(uint64_t entry, Outbox& outbox) {
  std::erase_if(queued_requests_, [&](const QueuedRequest& it) {
    return it.request.entry == entry;
  });
  keeper_.OnEntryExit(entry, outbox);
}

void LedgerShard::OnSweepComplete(uint64_t exited,
                                  std::vector<KeptShare> kept) {
  writer_.Add(Release{exited, "all instances of the data centre reported",
                      std::move(kept)});
}

void LedgerShard::OnTick(Millis now,
                         Millis wall,
                         bool serving,
                         bool designated,
                         Outbox& outbox) {
  ServeQueuedRequests(now, wall, outbox);
  keeper_.OnTick(now, serving, outbox);
  const uint64_t limit =
      options_.snapshot_records * (designated ? 1 : kSnapshotOverdueFactor);
  const bool due = serving && records_since_snapshot_ >= limit;
  if (due && view_.live() && writer_.consecutive_failures() == 0) {
    records_since_snapshot_ = 0;
    writer_.Add(view_.MakeSnapshot());
  }
}

void LedgerShard::ServeQueuedRequests(Millis now, Millis wall, Outbox& outbox) {
  std::deque<QueuedRequest> queued = std::exchange(queued_requests_, {});
  for (QueuedRequest& it : queued) {
    if (caught_up_) {
      keeper_.OnReserve(now, wall, it.request, outbox);
    } else if (now >= it.deadline) {
      outbox.Send(
          it.request.entry,
          ReserveReply{it.request.attempt,
                       static_cast<int32_t>(ResultCode::kBudgetUnavailable),
                       self_, it.request.tokens});
    } else {
      queued_requests_.push_back(std::move(it));
    }
  }
}

void LedgerShard::AppendRecords(Outbox& outbox) {
  for (Record& it : outbox.records) {
    writer_.Add(std::move(it));
  }
  outbox.records.clear();
}

bool LedgerShard::NeedsRead(bool serving) const {
  return serving || !queued_requests_.empty() || writer_.backlog() > 0 ||
         keeper_.reservation_count() > 0 || keeper_.pending_charge_count() > 0;
}

}  // namespace tamaracktrail
