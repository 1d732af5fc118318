#ifndef COORDINATION_KEEPER_H_
#define COORDINATION_KEEPER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "coordination/outbox.h"
#include "coordination/rate_meter.h"
#include "coordination/share_policy.h"
#include "protocol/result_code.h"
#include "state/applied_batch.h"
#include "state/ledger_fold.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Keeps this instance's shares of the budgets of one ledger shard: grants
//! reservations from them, turns settled reservations into charges, and claims
//! non-repeatable requests on the log.
//!
//! A reservation ends by evidence only: a settlement, the entry's own word, a
//! charge on the log, or the entry's observed exit; never by a timeout. Not
//! thread-safe.
template <SharePolicy Policy>
class Keeper {
 public:
  struct Options {
    Millis reserve_wait{2000};  //!< Longest wait for tokens before a refusal.
    Millis claim_wait{3000};    //!< Longest wait for a claim's read-back.
    Millis want_interval{500};  //!< Between two wants for one budget.
    Millis query_after{5000};   //!< Age at which an entry is asked whether a
                                //!< reservation has ended, and again.
    int64_t data_centres = 1;
  };

  //! Precondition: `fold` outlives the keeper and is fed before OnApplied.
  Keeper(uint64_t self, Policy policy, Options options, const LedgerFold* fold);

  //! Grants, queues or refuses. Answers with one ReserveReply, now or later.
  void OnReserve(Millis now,
                 Millis wall,
                 const ReserveRequest& request,
                 Outbox& outbox);

  //! Takes a charge under this keeper's reservation into custody and answers
  //! with SettleReply; stays silent where it cannot.
  void OnSettle(Millis now, const SettleRequest& request, Outbox& outbox);

  //! The entry ends its reservation without a charge.
  void OnReservationEnd(Millis now, const ReservationEnd& end, Outbox& outbox);

  //! The fold has taken in a batch.
  void OnApplied(Millis now, const AppliedBatch& batch, Outbox& outbox);

  //! Frees what the entry had reserved once a fence against its late appends is
  //! read back. Precondition: the entry's process has exited and no other
  //! instance holds a charge of it that this keeper does not know.
  void OnEntryExit(uint64_t entry, Outbox& outbox);

  //! Entries without recent heartbeats. Their reservations stay, but a retry of
  //! their keys is let in.
  void SetSuspected(std::set<uint64_t> entries) {
    suspected_ = std::move(entries);
  }

  //! Refuses what waited too long, returns surplus, repeats wants. Call it
  //! several times a second. `serving` is false where another instance is the
  //! shard's keeper or this one shuts down: then all idle tokens go back.
  void OnTick(Millis now, bool serving, Outbox& outbox);

  //! Tokens of a budget not reserved or on their way to the log.
  int64_t Available(const std::string& organisation) const;

  int64_t reserved() const;
  size_t reservation_count() const { return reservations_.size(); }
  size_t pending_charge_count() const { return pending_charges_.size(); }
  bool HoldsCharge(uint64_t attempt) const {
    return pending_charges_.contains(attempt);
  }
  size_t queue_length() const;

 private:
  struct Waiting {
    ReserveRequest request;
    Millis deadline;
  };

  struct Book {
    int64_t reserved = 0;
    int64_t pending_charges = 0;
    int64_t pending_returns = 0;
    int64_t draws_in_flight = 0;
    int64_t drawn = 0;
    int64_t largest = 0;
    RateMeter demand{kMinute};
    std::deque<Waiting> queue;
    std::optional<Millis> wanted_at;
    std::optional<uint64_t> want_offset;  //!< Of the want that stands.
  };

  struct Reservation {
    ReserveRequest request;
    bool claimed = true;  //!< False while the claim is on its way.
    Millis claim_deadline;
    Millis query_at;
  };

  struct PendingCharge {
    std::string organisation;
    std::string key;
    int64_t tokens = 0;
    uint64_t entry = 0;
  };

  std::optional<ResultCode> Obstacle(const ReserveRequest& request,
                                     Millis wall) const;
  bool InProgress(const ReserveRequest& request) const;
  void Grant(Millis now, const ReserveRequest& request, Outbox& outbox);
  void Reply(const ReserveRequest& request, ResultCode code, Outbox& outbox);
  void EndReservation(uint64_t attempt);
  ResultCode RefusalCode(const ReserveRequest& request) const;
  StockView ViewOf(Millis now, const std::string& organisation) const;
  void Stock(Millis now, const std::string& organisation, Outbox& outbox);
  void GiveBack(const std::string& organisation,
                int64_t tokens,
                Outbox& outbox);
  void ServeQueue(Millis now, const std::string& organisation, Outbox& outbox);
  void ExpireQueue(Millis now, const std::string& organisation, Outbox& outbox);
  void ExpireClaims(Millis now, Outbox& outbox);
  void QueryEntries(Millis now, Outbox& outbox);
  void FreeEntry(uint64_t entry);
  void CheckBook(const std::string& organisation) const;

  void On(Millis now,
          const Charge& record,
          const AppliedBatch& batch,
          FoldVerdict verdict,
          Outbox& outbox);
  void On(Millis now,
          const Draw& record,
          const AppliedBatch& batch,
          FoldVerdict verdict,
          Outbox& outbox);
  void On(Millis now,
          const Return& record,
          const AppliedBatch& batch,
          FoldVerdict verdict,
          Outbox& outbox);
  void On(Millis now,
          const Want& record,
          const AppliedBatch& batch,
          FoldVerdict verdict,
          Outbox& outbox);
  void On(Millis now,
          const Claim& record,
          const AppliedBatch& batch,
          FoldVerdict verdict,
          Outbox& outbox);
  void On(Millis now,
          const Fence& record,
          const AppliedBatch& batch,
          FoldVerdict verdict,
          Outbox& outbox);
  template <class Other>
  void On(Millis, const Other&, const AppliedBatch&, FoldVerdict, Outbox&) {}

  uint64_t self_;
  Policy policy_;
  Options options_;
  const LedgerFold* fold_;
  std::unordered_map<std::string, Book> books_;
  std::map<uint64_t, Reservation> reservations_;       //!< By attempt.
  std::map<uint64_t, PendingCharge> pending_charges_;  //!< By attempt.
  std::set<uint64_t> suspected_;
  //! Budgets touched by the batch that is being taken in. The fold has all of
  //! the batch already, so books are served and checked only at its end.
  std::set<std::string> touched_;
  bool serving_ = true;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_KEEPER_H_
