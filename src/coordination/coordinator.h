#ifndef COORDINATION_COORDINATOR_H_
#define COORDINATION_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "coordination/charge_custody.h"
#include "coordination/content_guard.h"
#include "coordination/coordinator_status.h"
#include "coordination/endpoint_table.h"
#include "coordination/entry_notice.h"
#include "coordination/exit_sweep.h"
#include "coordination/ledger_shard.h"
#include "coordination/membership.h"
#include "coordination/placer.h"
#include "state/control_fold.h"

namespace tamaracktrail {

struct Catalog;

//! Everything an instance agrees on with others: membership, configuration,
//! ledger shards, custody of charges, exits and placement.
//!
//! Pure: messages, log entries and the time go in, letters, appends and notices
//! come out. Whatever an input causes is collected until the Take functions are
//! called. Not thread-safe.
class Coordinator {
 public:
  struct Options {
    std::string data_centre;
    uint32_t shards = 8;
    size_t loads_per_minute = 60;
    uint64_t control_snapshot_records = 2000;
    Millis settle{1500};        //!< From the start to taking part, unless all
                                //!< listed peers are heard from before.
    Millis content_wait{3000};  //!< Longest wait for a trial's read-back.
    Millis resweep{60000};      //!< Between sweeps of one exited holder.
    size_t probers = 2;         //!< Instances that probe one endpoint.
    LedgerShard::Options ledger;
    Membership::Options membership;
    ChargeCustody::Options custody;
    Placer::Options placer;
  };

  //! A payload to append to a stream; answered by OnAppended.
  struct AppendOrder {
    std::string stream;
    std::string payload;
  };

  //! Precondition: `codec` outlives the coordinator.
  Coordinator(InstanceId self, Options options, const BatchCodec* codec);
  ~Coordinator();

  // Events from other instances.

  //! Precondition: the transport has authenticated `from` as the sender.
  void OnMessage(Millis now,
                 Millis wall,
                 uint64_t from,
                 const PeerMessage& message);

  //! The process of `incarnation` has ended: its address refuses connections
  //! or answers as another incarnation. A timeout is no evidence.
  void OnExitEvidence(Millis now,
                      uint64_t incarnation,
                      const std::string& evidence);

  // Events from the log.

  void OnLogEntries(Millis now,
                    const std::string& stream,
                    std::span<const LogEntry> entries,
                    bool at_end);
  void OnAppended(Millis now, const std::string& stream, bool ok);

  // Requests of this process's entry.

  void Reserve(Millis now, Millis wall, const ReserveRequest& request);
  void EndReservation(Millis now, const ReservationEnd& end);
  void Settle(Millis now, const SettleRequest& request);
  void Withdraw(Millis now, const Charge& charge);
  void Note(const std::string& organisation, Record record);
  void CheckContent(Millis now, uint64_t attempt, const std::string& content);
  void ReportCrash(Millis now, uint64_t attempt, const Crash& crash);
  //! The attempt ended, `well` where its answer was delivered whole; ends its
  //! trial, if it had one.
  void ReportContentEnd(uint64_t attempt,
                        const std::string& content,
                        bool well);
  //! What the entry's own probes and queues show.
  void ReportEndpoints(std::vector<EndpointNews> news,
                       std::vector<Placer::EndpointState> states,
                       std::map<std::string, int> demand);

  // Time and life.

  void OnTick(Millis now, Millis wall);
  void SetSeeds(const std::vector<std::string>& addresses);

  //! Stops being a keeper and returns shares.
  void Drain();

  //! Nothing is left to settle, return or append.
  bool Drained() const;

  //! Whether this instance answers for the charge of an attempt.
  bool HoldsCharge(uint64_t attempt) const;

  //! Appends the graceful exit; call once when Drained(), then wait for
  //! Drained() again.
  void Leave();

  // Results.

  std::vector<Outbox::Letter> TakeLetters();
  std::vector<AppendOrder> TakeAppends(Millis now, Millis wall);
  std::vector<EntryNotice> TakeNotices();
  //! Incarnations that have exited: their connections are to be dropped, with
  //! whatever they still hold unread.
  std::vector<uint64_t> TakeExited();
  //! Joined instances of the data centre that are not heard from, by address:
  //! the transport tries to connect to them to learn of their exit.
  std::map<std::string, uint64_t> Silent(Millis now) const;
  //! Heartbeats that are due, by address.
  std::vector<std::pair<std::string, Heartbeat>> TakeHeartbeats(Millis now);

  //! Streams to read, and the offset to read each from.
  std::map<std::string, uint64_t> Reads(Millis now) const;

  //! Version of the configuration in force; never decreases.
  uint64_t config_version() const { return config_version_; }
  bool joined() const;

  //! Whether this instance takes part: it has joined, has a configuration and
  //! had time to hear from its peers. Before that its entry gets no catalog.
  bool ready() const { return ready_; }
  const Membership& membership() const { return membership_; }
  const ControlFold& control() const { return control_.fold(); }
  const LedgerShard& shard(uint32_t number) const { return *shards_[number]; }
  CoordinatorStatus Status(Millis now) const;

  uint32_t ShardOf(const std::string& organisation) const;

  static std::string ControlStreamName() { return "control"; }

 private:
  struct OpenReservation {
    std::string organisation;
    uint64_t keeper = 0;  //!< Asked.
    uint64_t holder = 0;  //!< Granted by; 0 while it is asked for.
    int64_t tokens = 0;
  };

  struct Ended {
    std::string organisation;
    Millis at;
  };

  //! A charge of the custody that this instance appends itself.
  struct CustodyTicket {
    uint32_t shard = 0;
    uint64_t ticket = 0;
    uint64_t attempt = 0;
  };

  void Handle(Millis now, Millis wall, uint64_t from, const Heartbeat& it);
  void Handle(Millis now, Millis wall, uint64_t from, const ReserveRequest& it);
  void Handle(Millis now, Millis wall, uint64_t from, const ReserveReply& it);
  void Handle(Millis now, Millis wall, uint64_t from, const SettleRequest& it);
  void Handle(Millis now, Millis wall, uint64_t from, const SettleReply& it);
  void Handle(Millis now,
              Millis wall,
              uint64_t from,
              const ChargeConfirmed& it);
  void Handle(Millis now, Millis wall, uint64_t from, const ReservationEnd& it);
  void Handle(Millis now, Millis wall, uint64_t from, const RecordsNote& it);
  void Handle(Millis now, Millis wall, uint64_t from, const OrphanQuery& it);
  void Handle(Millis now, Millis wall, uint64_t from, const OrphanReport& it);
  void Handle(Millis now, Millis wall, uint64_t from, const ConfigRequest& it);
  void Handle(Millis now, Millis wall, uint64_t from, const ConfigReply& it);
  void Handle(Millis now, Millis wall, uint64_t from, const CrashNotice& it);
  void Handle(Millis now,
              Millis wall,
              uint64_t from,
              const ReservationQuery& it);
  template <class Other>
  void Handle(Millis, Millis, uint64_t, const Other&) {}

  void Deliver(Millis now, Millis wall);
  void TellSettled();
  void Collect(LedgerShard& shard, Outbox& outbox);
  //! Takes roles anew where the set of candidates has changed.
  void RefreshRoles(Millis now) const;
  uint64_t KeeperOf(Millis now, uint32_t shard) const;
  bool Serving(Millis now, uint32_t shard) const;
  std::vector<uint64_t> SweepMembers() const;
  std::vector<KeptShare> OwnOrphans(uint64_t holder) const;
  void OnControlApplied(Millis now, const AppliedBatch& batch);
  void AdoptConfiguration(uint64_t version, const Configuration& configuration);
  void CatchUpConfiguration(Millis now);
  void AppendControl(Outbox& outbox);
  void TickCustody(Millis now);
  void TickSweeps(Millis now);
  void TickShards(Millis now, Millis wall);
  void TickPlacer(Millis now);
  void TickProbeDuty(Millis now);
  void StartSweeps(Millis now);
  void AppendCustody(Outbox& outbox);
  void JoinFleet(Millis now);
  bool Idle() const { return draining_ || !ready_; }
  void MarkExited(Millis now, uint64_t incarnation);

  InstanceId self_;
  Options options_;
  const BatchCodec* codec_;
  Membership membership_;
  StreamView<ControlFold> control_;
  LogWriter control_writer_;
  uint64_t control_since_snapshot_ = 0;
  std::vector<std::unique_ptr<LedgerShard>> shards_;
  ChargeCustody custody_;
  ExitSweep sweep_;
  ContentGuard content_;
  Placer placer_;
  std::map<uint64_t, std::string> exit_evidence_;
  std::map<uint64_t, Millis> swept_at_;
  std::map<uint64_t, OpenReservation> reservations_;  //!< By attempt.
  std::vector<CustodyTicket> custody_tickets_;
  std::map<uint64_t, Ended> ended_;  //!< Without a charge, by attempt.
  std::vector<EndpointNews> own_news_;
  std::vector<Placer::EndpointState> endpoint_states_;
  std::map<std::string, int> demand_;
  uint64_t duty_version_ = 0;  //!< Configuration that the duty is of.
  uint64_t duty_roles_ = 0;    //!< And count of role changes.
  // Roles follow from the candidates alone and are worked out when those
  // change, since each takes a hash a candidate.
  mutable Millis roles_at_{-1};
  mutable std::vector<uint64_t> candidates_;
  mutable std::vector<uint64_t> keepers_;  //!< By shard.
  mutable uint64_t role_changes_ = 0;
  Millis peer_config_asked_;
  bool control_caught_up_ = false;
  Millis term_asked_;
  uint64_t config_version_ = 0;
  Configuration configuration_;
  std::shared_ptr<const Catalog> catalog_;
  bool draining_ = false;
  bool leaving_ = false;
  std::optional<Millis> started_at_;
  bool ready_ = false;
  std::vector<Outbox::Letter> local_;  //!< Letters to this instance.
  std::vector<Outbox::Letter> letters_;
  std::vector<EntryNotice> notices_;
  std::vector<uint64_t> exited_now_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_COORDINATOR_H_
