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

//! Manages this instance's shares of the budgets of one ledger shard: grants
//! reservations from them, turns settled reservations into charges, and appends
//! the run claims of non-repeatable requests.
//!
//! A granted reservation ends only by evidence: a settlement, a message of the
//! entry, a charge on the log, or the observed exit of the entry. It never
//! times out. A reservation whose run claim is pending is not granted yet and
//! times out after Options::claim_wait. Not thread-safe.
template <SharePolicy Policy>
class Keeper {
 public:
  struct Options {
    //! Longest wait for tokens before a request is refused.
    Millis reserve_wait{2000};
    //! Longest wait for a run claim to be read back from the log.
    Millis claim_wait{3000};
    //! Minimum time between two share requests for one budget.
    Millis share_request_interval{500};
    //! Time between two ReservationQuery messages about an open reservation.
    Millis query_interval{5000};
    int64_t data_centres = 1;
  };

  //! Precondition: `fold` outlives the keeper and has applied each batch before
  //! it is passed to OnApplied.
  Keeper(uint64_t self, Policy policy, Options options, const LedgerFold* fold);

  //! Grants, queues or refuses the reservation. The ReserveReply is sent either
  //! in this call or later. `wall` is the wall clock time.
  void OnReserve(Millis now,
                 Millis wall,
                 const ReserveRequest& request,
                 Outbox& outbox);

  //! Ends the reservation, appends its charge and answers with SettleReply.
  //! Sends no reply if it knows neither the reservation nor the charge.
  void OnSettle(Millis now, const SettleRequest& request, Outbox& outbox);

  //! Handles the end of a reservation without a charge, as reported by its
  //! entry.
  void OnReservationEnd(Millis now, const ReservationEnd& end, Outbox& outbox);

  //! Handles a batch that the fold has applied.
  void OnApplied(Millis now, const AppliedBatch& batch, Outbox& outbox);

  //! Ends the reservations of an exited entry once the fence against its late
  //! appends is read back. Precondition: the entry's process has exited and no
  //! other instance holds a charge of it that this keeper does not know.
  void OnEntryExit(uint64_t entry, Outbox& outbox);

  //! Sets the entries without recent heartbeats. Their reservations stay, but
  //! another request under one of their keys is admitted.
  void SetSuspected(std::set<uint64_t> entries) {
    suspected_ = std::move(entries);
  }

  //! Refuses queued requests and claims that timed out, queries entries,
  //! returns surplus tokens and repeats share requests. Call it several times a
  //! second. `serving` is false if another instance is the shard's keeper or
  //! this one shuts down: then all idle tokens are returned.
  void OnTick(Millis now, bool serving, Outbox& outbox);

  //! Tokens of the share that are neither reserved nor part of a pending charge
  //! or return.
  int64_t Available(const std::string& organisation) const;

  int64_t reserved() const;
  size_t reservation_count() const { return reservations_.size(); }
  size_t pending_charge_count() const { return pending_charges_.size(); }
  bool HoldsCharge(uint64_t attempt) const {
    return pending_charges_.contains(attempt);
  }
  size_t queue_length() const;

 private:
  struct QueuedRequest {
    ReserveRequest request;
    Millis deadline;
  };

  struct Account {
    int64_t reserved = 0;
    int64_t pending_charges = 0;
    int64_t pending_returns = 0;
    int64_t pending_draws = 0;
    int64_t drawn = 0;
    int64_t largest_request = 0;
    RateMeter demand{kMinute};
    std::deque<QueuedRequest> queue;
    std::optional<Millis> share_requested_at;
    //! Log offset of the open share request.
    std::optional<uint64_t> share_request_offset;
  };

  struct Reservation {
    ReserveRequest request;
    bool granted = true;  //!< False while the run claim is pending.
    Millis claim_deadline;
    Millis next_query_at;
  };

  struct PendingCharge {
    std::string organisation;
    std::string key;
    int64_t tokens = 0;
    uint64_t entry = 0;
  };

  std::optional<ResultCode> ImmediateRefusal(const ReserveRequest& request,
                                             Millis wall) const;
  bool InProgress(const ReserveRequest& request) const;
  void Grant(Millis now, const ReserveRequest& request, Outbox& outbox);
  void Reply(const ReserveRequest& request, ResultCode code, Outbox& outbox);
  void EndReservation(uint64_t attempt);
  ResultCode QueueTimeoutCode(const ReserveRequest& request) const;
  ShareView ViewOf(Millis now, const std::string& organisation) const;
  void DrawOrRequestTokens(Millis now,
                           const std::string& organisation,
                           Outbox& outbox);
  void ReturnTokens(const std::string& organisation,
                    int64_t tokens,
                    Outbox& outbox);
  void ServeQueue(Millis now, const std::string& organisation, Outbox& outbox);
  void ExpireQueue(Millis now, const std::string& organisation, Outbox& outbox);
  void ExpireClaims(Millis now, Outbox& outbox);
  void QueryEntries(Millis now, Outbox& outbox);
  void EndReservationsOf(uint64_t entry);
  void CheckBalance(const std::string& organisation) const;

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
          const ShareRequest& record,
          const AppliedBatch& batch,
          FoldVerdict verdict,
          Outbox& outbox);
  void On(Millis now,
          const RunClaim& record,
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
  std::unordered_map<std::string, Account> accounts_;
  std::map<uint64_t, Reservation> reservations_;       //!< By attempt.
  std::map<uint64_t, PendingCharge> pending_charges_;  //!< By attempt.
  std::set<uint64_t> suspected_;
  //! Organisations with records in the batch that is being applied. The fold
  //! already contains the complete batch, so balances are checked and queues
  //! served only after its last record.
  std::set<std::string> updated_organisations_;
  bool serving_ = true;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_KEEPER_H_
