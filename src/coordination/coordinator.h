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

//! State machine for everything an instance coordinates with others:
//! membership, configuration, ledger shards, custody of charges, exits and
//! placement.
//!
//! It does no I/O and reads no clock: messages, log entries and the time are
//! its inputs; messages, appends and notices are its outputs. Outputs are
//! collected until the Take functions are called. `now` is monotonic time,
//! `wall` is wall clock time. Not thread-safe.
class Coordinator {
 public:
  struct Options {
    std::string data_centre;
    uint32_t shards = 8;
    //! Limit of accepted load orders; see ControlFold.
    size_t loads_per_minute = 60;
    //! Records of the control stream after which a snapshot is due.
    uint64_t control_snapshot_records = 2000;
    //! Startup wait: time from the first tick after which the instance becomes
    //! ready even if some known peers are not live.
    Millis startup_wait{1500};
    //! Longest wait until a trial's record is read back from the log.
    Millis trial_read_back_timeout{3000};
    //! Time between exit sweeps of one holder that still has shares.
    Millis sweep_interval{60000};
    size_t probers_per_endpoint = 2;
    LedgerShard::Options ledger;
    Membership::Options membership;
    ChargeCustody::Options custody;
    Placer::Options placer;
  };

  //! A payload to append to a stream. The caller reports the result with
  //! OnAppended.
  struct StreamAppend {
    std::string stream;
    std::string payload;
  };

  //! Precondition: `codec` outlives the coordinator.
  Coordinator(InstanceId self, Options options, const BatchCodec* codec);
  ~Coordinator();

  // Input from other instances.

  //! Precondition: the transport has authenticated `from` as the sender.
  void OnMessage(Millis now,
                 Millis wall,
                 uint64_t from,
                 const PeerMessage& message);

  //! Reports that the process of `incarnation` has ended: its address refuses
  //! connections or answers as another incarnation. A timeout is not evidence
  //! of an exit.
  void OnExitEvidence(Millis now,
                      uint64_t incarnation,
                      const std::string& evidence);

  // Input from the log.

  //! Applies entries of `stream`, in ascending order. `at_end`: the log has no
  //! entries after them.
  void OnLogEntries(Millis now,
                    const std::string& stream,
                    std::span<const LogEntry> entries,
                    bool at_end);
  //! Result of an append from TakeAppends. `ok`: the log has stored it for
  //! certain.
  void OnAppended(Millis now, const std::string& stream, bool ok);

  // Requests of the entry in this process.

  //! Requests a reservation from the keeper of the organisation's shard.
  void Reserve(Millis now, Millis wall, const ReserveRequest& request);
  //! Ends a reservation without a charge. Has no effect if the attempt has no
  //! open reservation.
  void EndReservation(Millis now, const ReservationEnd& end);
  //! Ends the attempt's reservation with a charge; answered by a SettledNotice.
  void Settle(Millis now, const SettleRequest& request);
  //! Voids a charge whose answer was not delivered completely after all.
  void Withdraw(Millis now, const Charge& charge);
  //! Queues a record for the organisation's ledger shard.
  void AppendRecord(const std::string& organisation, Record record);
  //! Asks whether the attempt may be sent to an endpoint; answered by a
  //! ContentVerdict. `content` is the hash of the request's content.
  void CheckContent(Millis now, uint64_t attempt, const std::string& content);
  //! Records that the attempt's endpoint crashed, and asks whether the attempt
  //! may be repeated; answered by a ContentVerdict.
  void ReportCrash(Millis now, uint64_t attempt, const Crash& crash);
  //! Ends the attempt's trial, if it had one. `succeeded`: the complete answer
  //! was delivered.
  void ReportContentEnd(uint64_t attempt,
                        const std::string& content,
                        bool succeeded);
  //! Replaces the results of the entry's own probes, the states of the
  //! endpoints and, by placement, the number of copies that the demand
  //! requires.
  void ReportEndpoints(std::vector<ProbeReport> reports,
                       std::vector<Placer::EndpointState> states,
                       std::map<std::string, int> demand);

  // Time, start and shutdown.

  //! Runs all periodic work. Call it several times a second.
  void OnTick(Millis now, Millis wall);
  //! See Membership::SetSeeds.
  void SetSeeds(const std::vector<std::string>& addresses);

  //! Gives up this instance's roles and returns its shares.
  void Drain();

  //! Whether nothing is left to settle, return or append.
  bool Drained() const;

  //! Whether this instance is responsible for the charge of an attempt, as its
  //! keeper or in custody.
  bool HoldsCharge(uint64_t attempt) const;

  //! Queues the record of this instance's graceful exit. Call it once, when
  //! Drained(); then wait for Drained() again.
  void QueueExit();

  // Output. The Take functions hand over each item once.

  std::vector<Outbox::Message> TakeMessages();
  std::vector<StreamAppend> TakeAppends(Millis now, Millis wall);
  std::vector<EntryNotice> TakeNotices();
  //! Incarnations that have exited. The transport has to drop their connections
  //! together with any data not yet read from them.
  std::vector<uint64_t> TakeExited();
  //! Joined instances of the data centre that are draining or not live, by
  //! address. The transport tries to connect to them to detect their exit.
  std::map<std::string, uint64_t> UnresponsiveMembers(Millis now) const;
  //! Heartbeats that are due, with the address to send each to.
  std::vector<std::pair<std::string, Heartbeat>> TakeHeartbeats(Millis now);

  //! Streams to read now, each with the offset to read from.
  std::map<std::string, uint64_t> StreamsToRead(Millis now) const;

  //! Version of the configuration in force; never decreases.
  uint64_t config_version() const { return config_version_; }
  bool joined() const;

  //! Whether this instance can take roles and serve: it has joined, has a
  //! configuration, and all known peers are live or the startup wait is over.
  //! Until then its entry gets no catalog.
  bool ready() const { return ready_; }
  const Membership& membership() const { return membership_; }
  const ControlFold& control() const { return control_.fold(); }
  const LedgerShard& shard(uint32_t number) const { return *shards_[number]; }
  CoordinatorStatus Status(Millis now) const;

  //! Number of the ledger shard that holds the organisation's records.
  uint32_t ShardOf(const std::string& organisation) const;

  static std::string ControlStreamName() { return "control"; }

 private:
  struct OpenReservation {
    std::string organisation;
    uint64_t keeper = 0;  //!< Incarnation that the request was sent to.
    uint64_t holder = 0;  //!< Incarnation that granted it; 0 until then.
    int64_t tokens = 0;
  };

  //! An attempt whose reservation ended without a charge.
  struct EndedAttempt {
    std::string organisation;
    Millis ended_at;
  };

  //! A charge in custody that this instance appends to the log itself. `ticket`
  //! is the one that the shard's LogWriter returned.
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
  void Handle(Millis now,
              Millis wall,
              uint64_t from,
              const RecordsToAppend& it);
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

  //! Handles messages that this instance has sent to itself, including those
  //! that their handling sends in turn.
  void DeliverLocalMessages(Millis now, Millis wall);
  void ReportSettledCharges();
  //! Appends all records of `outbox` to `shard` and queues its messages.
  void DispatchShardOutbox(LedgerShard& shard, Outbox& outbox);
  //! Recomputes the keepers if the set of candidates has changed.
  void RefreshRoles(Millis now) const;
  uint64_t KeeperOf(Millis now, uint32_t shard) const;
  //! Whether this instance is the keeper of `shard` in its data centre.
  bool Serving(Millis now, uint32_t shard) const;
  //! Other instances of the data centre that have joined and not exited.
  std::vector<uint64_t> SweepMembers() const;
  //! Tokens under the share of `holder` that this instance still accounts for:
  //! charges in custody and open reservations.
  std::vector<KeptShare> OwnKeptShares(uint64_t holder) const;
  void OnControlApplied(Millis now, const AppliedBatch& batch);
  void AdoptConfiguration(uint64_t version, const Configuration& configuration);
  //! Requests the configuration from a peer that has a newer one.
  void RequestNewerConfiguration(Millis now);
  //! Appends all records of `outbox` to the control stream, queues its messages
  //! and passes content verdicts on to the entry.
  void DispatchControlOutbox(Outbox& outbox);
  void TickCustody(Millis now);
  void TickSweeps(Millis now);
  void TickShards(Millis now, Millis wall);
  void TickPlacer(Millis now);
  void TickProbeAssignment(Millis now);
  void StartDueSweeps(Millis now);
  //! Appends each record of `outbox` to the shard of its organisation, with a
  //! ticket for each charge, and queues the messages. Ignores records without
  //! an organisation.
  void DispatchLedgerOutbox(Outbox& outbox);
  //! Queues the join record on the first tick, then decides when this instance
  //! becomes ready.
  void JoinFleet(Millis now);
  bool ExcludedFromRoles() const { return draining_ || !ready_; }
  void MarkExited(Millis now, uint64_t incarnation);

  InstanceId self_;
  Options options_;
  const BatchCodec* codec_;
  Membership membership_;
  StreamView<ControlFold> control_;
  LogWriter control_writer_;
  uint64_t control_records_since_snapshot_ = 0;
  std::vector<std::unique_ptr<LedgerShard>> shards_;
  ChargeCustody custody_;
  ExitSweep exit_sweep_;
  ContentGuard content_guard_;
  Placer placer_;
  std::map<uint64_t, std::string> exit_evidence_;
  std::map<uint64_t, Millis> last_sweep_at_;
  std::map<uint64_t, OpenReservation> reservations_;  //!< By attempt.
  std::vector<CustodyTicket> custody_tickets_;
  std::map<uint64_t, EndedAttempt> ended_attempts_;  //!< By attempt.
  std::vector<ProbeReport> own_probe_reports_;
  std::vector<Placer::EndpointState> endpoint_states_;
  std::map<std::string, int> demand_;
  // Configuration version and role_changes_ at the last probe assignment.
  uint64_t assignment_config_version_ = 0;
  uint64_t assignment_role_changes_ = 0;
  // Roles depend on the candidates alone. They are cached until the candidates
  // change, since each role costs one hash per candidate.
  mutable Millis roles_updated_at_{-1};  //!< -1: recompute at the next call.
  mutable std::vector<uint64_t> candidates_;
  mutable std::vector<uint64_t> keepers_;  //!< By shard.
  mutable uint64_t role_changes_ = 0;
  Millis config_requested_at_;
  bool control_caught_up_ = false;
  Millis term_requested_at_;  //!< When a Term record was last queued.
  uint64_t config_version_ = 0;
  Configuration configuration_;
  std::shared_ptr<const Catalog> catalog_;
  bool draining_ = false;
  bool exit_queued_ = false;
  std::optional<Millis> started_at_;
  bool ready_ = false;
  std::vector<Outbox::Message> local_messages_;  //!< To this instance itself.
  std::vector<Outbox::Message> outgoing_messages_;
  std::vector<EntryNotice> notices_;
  std::vector<uint64_t> newly_exited_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_COORDINATOR_H_
