#ifndef COORDINATION_LEDGER_SHARD_H_
#define COORDINATION_LEDGER_SHARD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "coordination/escrow_policy.h"
#include "coordination/keeper.h"
#include "coordination/log_writer.h"
#include "coordination/outbox.h"
#include "state/ledger_fold.h"
#include "state/log_entry.h"
#include "state/stream_view.h"

namespace tamaracktrail {

//! This instance's replica of one ledger shard: the fold of the shard's stream,
//! the writer that appends to it, and the keeper of this instance's shares. Not
//! thread-safe.
class LedgerShard {
 public:
  struct Options {
    //! Time for which the state of a request key is kept; older UUIDv7 keys are
    //! refused. The same on all instances.
    Millis key_window = kHour * 24;
    Keeper<EscrowPolicy>::Options keeper;
    LogWriter::Options writer;
    double hold = 0.5;            //!< See EscrowPolicy.
    Millis cover = kMinute * 10;  //!< See EscrowPolicy.
    //! Number of applied records after which a snapshot is due.
    uint64_t snapshot_records = 5000;
  };

  //! Precondition: `codec` outlives the shard.
  LedgerShard(uint64_t self,
              uint32_t number,
              const Options& options,
              const BatchCodec* codec);

  LedgerShard(const LedgerShard&) = delete;
  LedgerShard& operator=(const LedgerShard&) = delete;

  //! Applies entries of the stream, in ascending order. `at_end`: the log has
  //! no entries after them.
  void OnEntries(Millis now,
                 std::span<const LogEntry> entries,
                 bool at_end,
                 Outbox& outbox);

  //! Passes the request to the keeper once the fold has caught up. Refuses it
  //! with kBudgetUnavailable if that takes longer than keeper.reserve_wait.
  void OnReserve(Millis now,
                 Millis wall,
                 const ReserveRequest& request,
                 Outbox& outbox);
  void OnSettle(Millis now, const SettleRequest& request, Outbox& outbox);
  void OnReservationEnd(Millis now, const ReservationEnd& end, Outbox& outbox);
  void OnEntryExit(uint64_t entry, Outbox& outbox);

  //! Queues the record that releases the shares of an exited holder after a
  //! complete exit sweep, except the tokens in `kept`. Precondition: `kept` has
  //! this shard's attempts only.
  void OnSweepComplete(uint64_t exited, std::vector<KeptShare> kept);

  //! `serving`: this instance is the shard's keeper in its data centre.
  //! `designated`: its data centre is the one whose keeper writes the
  //! snapshots; keepers of other data centres write one only when it is
  //! overdue, after 3 times as many records.
  void OnTick(Millis now,
              Millis wall,
              bool serving,
              bool designated,
              Outbox& outbox);

  //! Moves the records of `outbox` to this shard's writer.
  void AppendRecords(Outbox& outbox);

  //! Whether the stream has to be read now.
  bool NeedsRead(bool serving) const;

  std::string stream() const;
  uint32_t number() const { return number_; }
  bool caught_up() const { return caught_up_; }
  const StreamView<LedgerFold>& view() const { return view_; }
  LogWriter& writer() { return writer_; }
  const LogWriter& writer() const { return writer_; }
  Keeper<EscrowPolicy>& keeper() { return keeper_; }
  const Keeper<EscrowPolicy>& keeper() const { return keeper_; }

  static std::string StreamName(uint32_t number);

 private:
  //! A request that arrived before the fold had caught up.
  struct QueuedRequest {
    ReserveRequest request;
    Millis deadline;
  };

  void ServeQueuedRequests(Millis now, Millis wall, Outbox& outbox);

  uint64_t self_;
  uint32_t number_;
  Options options_;
  StreamView<LedgerFold> view_;
  LogWriter writer_;
  Keeper<EscrowPolicy> keeper_;
  bool caught_up_ = false;
  std::deque<QueuedRequest> queued_requests_;
  uint64_t records_since_snapshot_ = 0;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_LEDGER_SHARD_H_
