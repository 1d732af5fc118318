#include "coordination/coordinator.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "coordination/catalog.h"
#include "coordination/rendezvous.h"
#include "state/digest.h"

namespace tamaracktrail {

Coordinator::Coordinator(InstanceId self,
                         Options options,
                         const BatchCodec* codec)
    : self_(self),
      options_(std::move(options)),
      codec_(codec),
      membership_(self, options_.data_centre, options_.membership),
      control_(codec, ControlFold(options_.loads_per_minute)),
      control_writer_(self.incarnation, codec, options_.ledger.writer),
      custody_(self.incarnation, options_.custody),
      content_guard_(self.incarnation,
                     options_.trial_read_back_timeout,
                     &control_.fold()),
      placer_(options_.data_centre, options_.placer) {
  CHECK_GT(options_.shards, 0u);
  for (uint32_t i = 0; i < options_.shards; ++i) {
    shards_.push_back(std::make_unique<LedgerShard>(self.incarnation, i,
                                                    options_.ledger, codec));
  }
}

Coordinator::~Coordinator() = default;

uint32_t Coordinator::ShardOf(const std::string& organisation) const {
  return static_cast<uint32_t>(StableHash(organisation) % options_.shards);
}

void Coordinator::RefreshRoles(Millis now) const {
  if (now == roles_updated_at_) {
    return;
  }
  roles_updated_at_ = now;
  std::vector<uint64_t> candidates =
      membership_.Candidates(now, ExcludedFromRoles());
  if (candidates == candidates_ && !keepers_.empty()) {
    return;
  }
  candidates_ = std::move(candidates);
  ++role_changes_;
  std::vector<std::string> streams;
  for (const auto& shard : shards_) {
    streams.push_back(shard->stream());
  }
  keepers_ = RendezvousAssign(streams, candidates_);
  if (keepers_.empty()) {
    keepers_.assign(shards_.size(), self_.incarnation);
  }
}

uint64_t Coordinator::KeeperOf(Millis now, uint32_t shard) const {
  RefreshRoles(now);
  return keepers_[shard];
}

bool Coordinator::Serving(Millis now, uint32_t shard) const {
  return !ExcludedFromRoles() && KeeperOf(now, shard) == self_.incarnation;
}

// Messages.

void Coordinator::OnMessage(Millis now,
                            Millis wall,
                            uint64_t from,
                            const PeerMessage& message) {
  if (membership_.Exited(from)) {
    return;
  }
  std::visit([&](const auto& it) { Handle(now, wall, from, it); }, message);
  DeliverLocalMessages(now, wall);
}

void Coordinator::DeliverLocalMessages(Millis now, Millis wall) {
  while (!local_messages_.empty()) {
    std::vector<Outbox::Message> local = std::exchange(local_messages_, {});
    for (const Outbox::Message& it : local) {
      std::visit(
          [&](const auto& message) {
            Handle(now, wall, self_.incarnation, message);
          },
          it.message);
    }
  }
  ReportSettledCharges();
}

void Coordinator::DispatchShardOutbox(LedgerShard& shard, Outbox& outbox) {
  shard.AppendRecords(outbox);
  for (Outbox::Message& it : outbox.messages) {
    const bool own = it.to == self_.incarnation;
    (own ? local_messages_ : outgoing_messages_).push_back(std::move(it));
  }
  outbox.messages.clear();
}

void Coordinator::Handle(Millis now, Millis, uint64_t, const Heartbeat& it) {
  std::optional<uint64_t> replaced;
  if (!membership_.OnHeartbeat(now, it, replaced)) {
    return;
  }
  if (replaced.has_value()) {
    OnExitEvidence(now, *replaced,
                   "its address answers as another incarnation");
  }
  const Membership::Peer* peer = membership_.ByIncarnation(it.from.incarnation);
  if (peer == nullptr || !Membership::EarliestLocalTime(*peer, it.sent_at)) {
    return;
  }
  ProbeReportNotice reports;
  for (const ProbeReport& item : it.probe_reports) {
    EndpointObservation seen;
    seen.endpoint = item.endpoint;
    seen.health = static_cast<EndpointHealth>(item.health);
    seen.load = item.load;
    seen.as_of = *Membership::EarliestLocalTime(*peer, it.sent_at) - item.age;
    reports.observations.push_back(std::move(seen));
  }
  if (!reports.observations.empty()) {
    notices_.push_back(std::move(reports));
  }
}

void Coordinator::Handle(Millis now,
                         Millis wall,
                         uint64_t,
                         const ReserveRequest& it) {
  Outbox outbox;
  LedgerShard& shard = *shards_[ShardOf(it.organisation)];
  shard.OnReserve(now, wall, it, outbox);
  DispatchShardOutbox(shard, outbox);
}

void Coordinator::Handle(Millis, Millis, uint64_t, const ReserveReply& it) {
  auto open = reservations_.find(it.attempt);
  if (open == reservations_.end()) {
    return;
  }
  if (it.code == static_cast<int32_t>(ResultCode::kOk)) {
    open->second.holder = it.holder;
  } else {
    reservations_.erase(open);
  }
  notices_.push_back(it);
}

void Coordinator::Handle(Millis now,
                         Millis,
                         uint64_t,
                         const SettleRequest& it) {
  Outbox outbox;
  LedgerShard& shard = *shards_[ShardOf(it.charge.organisation)];
  if (it.charge.holder == self_.incarnation) {
    shard.OnSettle(now, it, outbox);
  }
  // A repeated charge that the log already has needs no custody.
  if (it.charge.holder != self_.incarnation ||
      shard.keeper().HoldsCharge(it.charge.attempt)) {
    custody_.Hold(now, it, outbox);
  }
  DispatchShardOutbox(shard, outbox);
}

void Coordinator::Handle(Millis, Millis, uint64_t from, const SettleReply& it) {
  // A reply of this instance to itself does not make a charge safe.
  if (from != self_.incarnation) {
    custody_.OnHeldElsewhere(it.attempt);
  }
}

void Coordinator::Handle(Millis, Millis, uint64_t, const ChargeConfirmed& it) {
  Outbox outbox;
  custody_.OnConfirmed(it.attempt, outbox);
  DispatchLedgerOutbox(outbox);
}

void Coordinator::Handle(Millis now,
                         Millis,
                         uint64_t,
                         const ReservationEnd& it) {
  Outbox outbox;
  LedgerShard& shard = *shards_[ShardOf(it.organisation)];
  shard.OnReservationEnd(now, it, outbox);
  DispatchShardOutbox(shard, outbox);
}

void Coordinator::Handle(Millis, Millis, uint64_t, const RecordsToAppend& it) {
  for (const Record& record : it.records) {
    AppendRecord(it.organisation, record);
  }
}

void Coordinator::Handle(Millis now,
                         Millis,
                         uint64_t from,
                         const OrphanQuery& it) {
  if (it.holder == self_.incarnation) {
    return;
  }
  OnExitEvidence(now, it.holder, "a peer has evidence of the exit");
  Outbox outbox;
  outbox.Send(
      from, OrphanReport{it.holder, self_.incarnation, OwnKeptShares(it.holder),
                         custody_.ChargesOfEntry(it.holder)});
  DispatchLedgerOutbox(outbox);
}

void Coordinator::Handle(Millis now,
                         Millis wall,
                         uint64_t from,
                         const OrphanReport& it) {
  for (const SettleRequest& charge : it.charges) {
    if (charge.charge.holder == self_.incarnation) {
      Handle(now, wall, from, charge);
    }
  }
  exit_sweep_.OnReport(it);
}

void Coordinator::Handle(Millis,
                         Millis,
                         uint64_t from,
                         const ConfigRequest& it) {
  if (config_version_ > it.newer_than) {
    outgoing_messages_.push_back(
        {from, ConfigReply{config_version_, configuration_}});
  }
}

void Coordinator::Handle(Millis, Millis, uint64_t, const ConfigReply& it) {
  AdoptConfiguration(it.version, it.configuration);
}

void Coordinator::Handle(Millis, Millis, uint64_t, const CrashNotice& it) {
  content_guard_.OnNotice(it.crash);
}

void Coordinator::Handle(Millis,
                         Millis,
                         uint64_t from,
                         const ReservationQuery& it) {
  for (const uint64_t attempt : it.attempts) {
    // No reply is sent for an attempt that may have a charge.
    const auto ended = ended_attempts_.find(attempt);
    if (ended != ended_attempts_.end()) {
      Outbox outbox;
      outbox.Send(from, ReservationEnd{ended->second.organisation, "", attempt,
                                       from, false});
      DispatchLedgerOutbox(outbox);
    }
  }
}

// Log input.

void Coordinator::OnLogEntries(Millis now,
                               const std::string& stream,
                               std::span<const LogEntry> entries,
                               bool at_end) {
  if (stream == ControlStreamName()) {
    for (const LogEntry& entry : entries) {
      for (const AppliedBatch& it : control_.Feed(entry)) {
        OnControlApplied(now, it);
      }
    }
    control_writer_.OnReadBack(
        control_.chains().LastSequence(self_.incarnation));
    control_caught_up_ = control_caught_up_ || (at_end && control_.live());
    if (control_.fold().version() > config_version_) {
      AdoptConfiguration(control_.fold().version(),
                         control_.fold().configuration());
    }
    return;
  }
  // Once this instance's exit record is queued, peers may release its empty
  // shares. A shard that applied such a release would stop the process.
  if (exit_queued_) {
    return;
  }
  for (auto& shard : shards_) {
    if (shard->stream() == stream) {
      Outbox outbox;
      shard->OnEntries(now, entries, at_end, outbox);
      DispatchShardOutbox(*shard, outbox);
    }
  }
}

void Coordinator::OnControlApplied(Millis now, const AppliedBatch& batch) {
  control_records_since_snapshot_ += batch.batch.records.size();
  for (size_t i = 0; i < batch.batch.records.size(); ++i) {
    const Record& record = batch.batch.records[i];
    if (const auto* exit = std::get_if<Exit>(&record)) {
      CHECK(exit->incarnation != self_.incarnation || exit_queued_)
          << "this instance was recorded as exited while it runs";
      const auto member = control_.fold().members().find(exit->incarnation);
      // Only the exited instance's own data centre can account for the
      // reservations that it granted.
      if (member != control_.fold().members().end() &&
          member->second.data_centre == options_.data_centre) {
        OnExitEvidence(now, exit->incarnation, exit->evidence);
      }
    }
    if (std::holds_alternative<ControlSnapshot>(record)) {
      control_records_since_snapshot_ = 0;
    }
    const auto* order = std::get_if<Order>(&record);
    const bool accepted = batch.verdicts[i] == FoldVerdict::kAccepted;
    if (order != nullptr && accepted && placer_.MaySend(*order)) {
      notices_.push_back(OrderNotice{*order});
    }
  }
}

void Coordinator::OnAppended(Millis now, const std::string& stream, bool ok) {
  if (stream == ControlStreamName()) {
    control_writer_.OnAppended(now, ok);
    return;
  }
  for (auto& shard : shards_) {
    if (shard->stream() == stream) {
      shard->writer().OnAppended(now, ok);
    }
  }
}

void Coordinator::AdoptConfiguration(uint64_t version,
                                     const Configuration& configuration) {
  if (version <= config_version_) {
    return;
  }
  config_version_ = version;
  configuration_ = configuration;
  std::vector<SettingFault> faults;
  catalog_ = std::make_shared<const Catalog>(
      ParseCatalog(version, configuration.files, &faults));
  LOG(INFO) << "event=configuration version=" << version
            << " id=" << configuration.id << " faults=" << faults.size();
  if (ready_) {
    notices_.push_back(CatalogNotice{catalog_});
  }
}

// Requests of the entry.

void Coordinator::Reserve(Millis now,
                          Millis wall,
                          const ReserveRequest& request) {
  const uint64_t keeper = KeeperOf(now, ShardOf(request.organisation));
  reservations_[request.attempt] =
      OpenReservation{request.organisation, keeper, 0, request.tokens};
  const bool own = keeper == self_.incarnation;
  (own ? local_messages_ : outgoing_messages_).push_back({keeper, request});
  DeliverLocalMessages(now, wall);
}

void Coordinator::EndReservation(Millis now, const ReservationEnd& end) {
  auto it = reservations_.find(end.attempt);
  if (it == reservations_.end()) {
    return;
  }
  const OpenReservation open = it->second;
  reservations_.erase(it);
  ended_attempts_[end.attempt] = {open.organisation, now};
  const bool exited = membership_.Exited(open.keeper);
  const std::vector<uint64_t> live = membership_.LivePeers(now);
  const bool keeper_is_live =
      open.keeper == self_.incarnation ||
      std::find(live.begin(), live.end(), open.keeper) != live.end();
  Outbox outbox;
  // An exited keeper gets no message: its next exit sweep frees the
  // reservation. A return that reaches the log before the release would include
  // tokens that other instances still account for.
  if (!exited) {
    ReservationEnd message = end;
    message.holder = open.keeper;
    outbox.Send(open.keeper, message);
  }
  if (end.abandon && !keeper_is_live) {
    outbox.Append(Abandon{end.organisation, end.key, end.attempt});
  }
  DispatchLedgerOutbox(outbox);
  // Only a ReserveRequest uses the wall time, and none can be queued here.
  DeliverLocalMessages(now, Millis());
}

void Coordinator::Settle(Millis now, const SettleRequest& request) {
  reservations_.erase(request.charge.attempt);
  Outbox outbox;
  if (request.charge.holder == self_.incarnation) {
    LedgerShard& shard = *shards_[ShardOf(request.charge.organisation)];
    shard.OnSettle(now, request, outbox);
    DispatchShardOutbox(shard, outbox);
  }
  const std::vector<uint64_t> peers = membership_.LivePeers(now);
  custody_.Settle(now, request, peers, outbox);
  DispatchLedgerOutbox(outbox);
  // Only a ReserveRequest uses the wall time, and none can be queued here.
  DeliverLocalMessages(now, Millis());
}

void Coordinator::Withdraw(Millis now, const Charge& charge) {
  Outbox outbox;
  custody_.Withdraw(charge, membership_.LivePeers(now), outbox);
  DispatchLedgerOutbox(outbox);
}

void Coordinator::AppendRecord(const std::string& organisation, Record record) {
  shards_[ShardOf(organisation)]->writer().Add(std::move(record));
}

void Coordinator::DispatchLedgerOutbox(Outbox& outbox) {
  for (Record& record : outbox.records) {
    std::visit(
        [&](auto& it) {
          if constexpr (requires { it.organisation; }) {
            const uint32_t n = ShardOf(it.organisation);
            const uint64_t ticket = shards_[n]->writer().Add(it);
            if constexpr (std::is_same_v<std::decay_t<decltype(it)>, Charge>) {
              custody_tickets_.push_back({n, ticket, it.attempt});
            }
          }
        },
        record);
  }
  outbox.records.clear();
  for (Outbox::Message& it : outbox.messages) {
    const bool own = it.to == self_.incarnation;
    (own ? local_messages_ : outgoing_messages_).push_back(std::move(it));
  }
  outbox.messages.clear();
}

// Content that crashes endpoints.

void Coordinator::CheckContent(Millis now,
                               uint64_t attempt,
                               const std::string& content) {
  Outbox outbox;
  content_guard_.Check(now, attempt, content, outbox);
  DispatchControlOutbox(outbox);
}

void Coordinator::ReportCrash(Millis now,
                              uint64_t attempt,
                              const Crash& crash) {
  Outbox outbox;
  content_guard_.OnCrash(now, attempt, crash, membership_.LivePeers(now),
                         outbox);
  DispatchControlOutbox(outbox);
}

void Coordinator::ReportContentEnd(uint64_t attempt,
                                   const std::string& content,
                                   bool succeeded) {
  Outbox outbox;
  content_guard_.OnEnd(attempt, content, succeeded, outbox);
  DispatchControlOutbox(outbox);
}

void Coordinator::DispatchControlOutbox(Outbox& outbox) {
  for (Record& it : outbox.records) {
    control_writer_.Add(std::move(it));
  }
  for (Outbox::Message& it : outbox.messages) {
    outgoing_messages_.push_back(std::move(it));
  }
  for (const ContentVerdict& it : content_guard_.TakeVerdicts()) {
    notices_.push_back(it);
  }
}

// Output.

std::vector<Outbox::Message> Coordinator::TakeMessages() {
  return std::exchange(outgoing_messages_, {});
}

std::vector<Coordinator::StreamAppend> Coordinator::TakeAppends(Millis now,
                                                                Millis wall) {
  std::vector<StreamAppend> out;
  if (auto payload = control_writer_.NextAppend(now, wall)) {
    out.push_back({ControlStreamName(), *std::move(payload)});
  }
  for (auto& shard : shards_) {
    if (auto payload = shard->writer().NextAppend(now, wall)) {
      out.push_back({shard->stream(), *std::move(payload)});
    }
  }
  return out;
}

std::vector<EntryNotice> Coordinator::TakeNotices() {
  return std::exchange(notices_, {});
}

std::vector<uint64_t> Coordinator::TakeExited() {
  return std::exchange(newly_exited_, {});
}

std::vector<std::pair<std::string, Heartbeat>> Coordinator::TakeHeartbeats(
    Millis now) {
  std::vector<std::pair<std::string, Heartbeat>> out;
  for (const std::string& address : membership_.TakeDueAddresses(now)) {
    Heartbeat heartbeat = membership_.MakeHeartbeat(
        now, address, config_version_, ExcludedFromRoles());
    heartbeat.probe_reports = own_probe_reports_;
    out.emplace_back(address, std::move(heartbeat));
  }
  return out;
}

std::map<std::string, uint64_t> Coordinator::StreamsToRead(Millis now) const {
  std::map<std::string, uint64_t> reads;
  reads[ControlStreamName()] = control_.read_offset();
  for (const auto& shard : shards_) {
    const bool holds_share =
        shard->view().fold().TokensHeldBy(self_.incarnation) > 0;
    if (holds_share || shard->NeedsRead(Serving(now, shard->number()))) {
      reads[shard->stream()] = shard->view().read_offset();
    }
  }
  return reads;
}

CoordinatorStatus Coordinator::Status(Millis now) const {
  CoordinatorStatus out;
  out.address = self_.address;
  out.data_centre = options_.data_centre;
  out.incarnation = self_.incarnation;
  out.config_version = config_version_;
  out.joined = joined();
  out.draining = draining_;
  out.charges_in_custody = custody_.size();
  out.open_sweeps = exit_sweep_.open_sweeps();
  out.backlog = control_writer_.backlog();
  out.append_failures = control_writer_.consecutive_failures();
  out.fencing_number = placer_.fencing_number().value_or(0);
  const std::vector<uint64_t> live = membership_.LivePeers(now);
  for (const auto& [address, peer] : membership_.peers()) {
    const bool is_live =
        std::find(live.begin(), live.end(), peer.incarnation) != live.end();
    const char* state = is_live                 ? "live"
                        : peer.incarnation != 0 ? "suspected"
                                                : "unknown";
    out.peers.push_back(
        {address, peer.incarnation, state, peer.config_version});
  }
  for (const auto& shard : shards_) {
    const LedgerFold& fold = shard->view().fold();
    CoordinatorStatus::ShardStatus it;
    it.number = shard->number();
    it.keeper = Serving(now, shard->number());
    it.caught_up = shard->caught_up();
    it.next_offset = shard->view().next_offset();
    it.backlog = shard->writer().backlog();
    it.reservations = shard->keeper().reservation_count();
    it.reserved_tokens = shard->keeper().reserved();
    it.dropped_batches = shard->view().dropped_batches();
    it.share_tokens = fold.TokensHeldBy(self_.incarnation);
    for (const auto& [incarnation, evidence] : exit_evidence_) {
      out.stuck_tokens += fold.TokensHeldBy(incarnation);
    }
    out.backlog += it.backlog;
    out.append_failures =
        std::max(out.append_failures, shard->writer().consecutive_failures());
    out.shards.push_back(it);
  }
  return out;
}

}  // namespace tamaracktrail
