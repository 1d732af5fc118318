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

//! One ledger shard as this instance sees it: the stream's fold, this
//! instance's writer, and its keeper. Not thread-safe.
class LedgerShard {
 public:
  struct Options {
    Millis key_window = kHour * 24;
    Keeper<EscrowPolicy>::Options keeper;
    LogWriter::Policy writer;
    double hold = 0.5;
    Millis cover = kMinute * 10;
    uint64_t snapshot_records = 5000;  //!< Folded between two snapshots.
  };

  //! Precondition: `codec` outlives the shard.
  LedgerShard(uint64_t self,
              uint32_t number,
              const Options& options,
              const BatchCodec* codec);

  LedgerShard(const LedgerShard&) = delete;
  LedgerShard& operator=(const LedgerShard&) = delete;

  //! Entries of the stream in ascending order. `at_end` where the log has none
  //! after them.
  void OnEntries(Millis now,
                 std::span<const LogEntry> entries,
                 bool at_end,
                 Outbox& outbox);

  //! Hands the request to the keeper once the fold has caught up.
  void OnReserve(Millis now,
                 Millis wall,
                 const ReserveRequest& request,
                 Outbox& outbox);
  void OnSettle(Millis now, const SettleRequest& request, Outbox& outbox);
  void OnReservationEnd(Millis now, const ReservationEnd& end, Outbox& outbox);
  void OnEntryExit(uint64_t entry, Outbox& outbox);

  //! An exit sweep is complete: frees what the exited holder had, but for
  //! `kept`, which are this shard's attempts only.
  void OnSweep(uint64_t exited, std::vector<KeptShare> kept);

  //! `serving`: this instance is the shard's keeper in its data centre.
  //! `designated`: it is the one to write snapshots; others stand in once one
  //! is long overdue.
  void OnTick(Millis now,
              Millis wall,
              bool serving,
              bool designated,
              Outbox& outbox);

  //! Appends records of `outbox` to this shard's writer.
  void TakeRecords(Outbox& outbox);

  //! Whether the stream is worth reading now.
  bool Needed(bool serving) const;

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
  struct Early {
    ReserveRequest request;
    Millis deadline;
  };

  void ServeEarly(Millis now, Millis wall, Outbox& outbox);

  uint64_t self_;
  uint32_t number_;
  Options options_;
  StreamView<LedgerFold> view_;
  LogWriter writer_;
  Keeper<EscrowPolicy> keeper_;
  bool caught_up_ = false;
  std::deque<Early> early_;  //!< Came before the fold caught up.
  uint64_t since_snapshot_ = 0;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_LEDGER_SHARD_H_
