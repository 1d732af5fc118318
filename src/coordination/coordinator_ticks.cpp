#include "coordination/coordinator.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "coordination/catalog.h"
#include "coordination/rendezvous.h"
#include "state/digest.h"

namespace tamaracktrail {

namespace {

//! Time after which a Term record without effect is queued again.
constexpr Millis kTermRetryInterval{3000};
//! Minimum time between two configuration requests.
constexpr Millis kConfigRequestInterval{500};
//! Time for which ended attempts are kept to answer the queries of keepers.
constexpr Millis kEndedAttemptRetention = kHour;
//! Instances other than the designated one write a snapshot only after this
//! multiple of the records.
constexpr uint64_t kSnapshotOverdueFactor = 3;

}  // namespace

// Exits.

void Coordinator::OnExitEvidence(Millis now,
                                 uint64_t incarnation,
                                 const std::string& evidence) {
  if (incarnation == self_.incarnation) {
    return;
  }
  if (!exit_evidence_.try_emplace(incarnation, evidence).second) {
    return;
  }
  LOG(INFO) << "event=exit_evidence incarnation=" << Hex(incarnation)
            << " evidence=\"" << evidence << "\"";
  MarkExited(now, incarnation);
}

void Coordinator::MarkExited(Millis now, uint64_t incarnation) {
  membership_.OnExit(incarnation);
  newly_exited_.push_back(incarnation);
  last_sweep_at_[incarnation] = now;
  exit_sweep_.Start(incarnation);
}

std::vector<KeptShare> Coordinator::OwnKeptShares(uint64_t holder) const {
  std::vector<KeptShare> kept = custody_.UnconfirmedUnderShareOf(holder);
  for (const auto& [attempt, it] : reservations_) {
    if (it.holder == holder) {
      kept.push_back({it.organisation, attempt, it.tokens});
    }
  }
  return kept;
}

std::vector<uint64_t> Coordinator::SweepMembers() const {
  std::vector<uint64_t> members =
      control_.fold().LiveIncarnations(options_.data_centre);
  std::erase_if(members, [this](uint64_t it) {
    return it == self_.incarnation || exit_evidence_.contains(it);
  });
  return members;
}

std::map<std::string, uint64_t> Coordinator::UnresponsiveMembers(
    Millis now) const {
  std::map<std::string, uint64_t> unresponsive;
  const std::vector<uint64_t> live = membership_.LivePeers(now);
  for (const uint64_t it : SweepMembers()) {
    if (std::find(live.begin(), live.end(), it) == live.end()) {
      unresponsive[control_.fold().members().at(it).address] = it;
    }
  }
  return unresponsive;
}

// Periodic work.

void Coordinator::OnTick(Millis now, Millis wall) {
  JoinFleet(now);
  RequestNewerConfiguration(now);
  Outbox outbox;
  content_guard_.OnTick(now, outbox);
  DispatchControlOutbox(outbox);
  TickCustody(now);
  TickSweeps(now);
  TickShards(now, wall);
  TickPlacer(now);
  TickProbeAssignment(now);
  std::erase_if(ended_attempts_, [&](const auto& it) {
    return it.second.ended_at + kEndedAttemptRetention < now;
  });
  DeliverLocalMessages(now, wall);
}

void Coordinator::JoinFleet(Millis now) {
  if (!started_at_.has_value()) {
    started_at_ = now;
    control_writer_.Add(
        Join{self_.incarnation, self_.address, options_.data_centre});
  }
  if (ready_ || !joined() || !control_caught_up_ || catalog_ == nullptr) {
    return;
  }
  const auto& peers = membership_.peers();
  const bool all_peers_live =
      !peers.empty() && membership_.CountLivePeers(now) == peers.size();
  if (all_peers_live || now >= *started_at_ + options_.startup_wait) {
    ready_ = true;
    roles_updated_at_ = Millis(-1);  // Recompute at the next call.
    notices_.push_back(CatalogNotice{catalog_});
  }
}

bool Coordinator::joined() const {
  return control_.fold().members().contains(self_.incarnation);
}

void Coordinator::RequestNewerConfiguration(Millis now) {
  if (now < config_requested_at_ + kConfigRequestInterval) {
    return;
  }
  for (const auto& [address, peer] : membership_.peers()) {
    if (peer.config_version > config_version_ && peer.incarnation != 0) {
      config_requested_at_ = now;
      outgoing_messages_.push_back(
          {peer.incarnation, ConfigRequest{config_version_}});
      return;
    }
  }
}

void Coordinator::TickCustody(Millis now) {
  Outbox outbox;
  const std::vector<uint64_t> peers = membership_.LivePeers(now);
  custody_.OnTick(now, peers, outbox);
  DispatchLedgerOutbox(outbox);
  std::erase_if(custody_tickets_, [&](const CustodyTicket& it) {
    const bool confirmed = shards_[it.shard]->writer().Confirmed(it.ticket);
    if (confirmed) {
      custody_.OnConfirmed(it.attempt, outbox);
    }
    return confirmed;
  });
  DispatchLedgerOutbox(outbox);
  ReportSettledCharges();
}

void Coordinator::ReportSettledCharges() {
  for (const ChargeCustody::SettleResult& it : custody_.TakeSettleResults()) {
    const bool safe = it.safety == ChargeCustody::Safety::kSafe;
    notices_.push_back(SettledNotice{it.attempt, safe});
  }
}

void Coordinator::TickSweeps(Millis now) {
  StartDueSweeps(now);
  if (!control_caught_up_) {
    return;  // The members are not known yet.
  }
  const std::vector<uint64_t> members = SweepMembers();
  Outbox outbox;
  exit_sweep_.OnTick(now, members, outbox);
  DispatchLedgerOutbox(outbox);
  for (ExitSweep::CompletedSweep& it :
       exit_sweep_.TakeCompletedSweeps(members)) {
    const OrphanReport own{
        it.exited, self_.incarnation, OwnKeptShares(it.exited), {}};
    std::map<uint64_t, KeptShare> kept;
    for (const KeptShare& share : it.kept) {
      kept[share.attempt] = share;
    }
    for (const KeptShare& share : own.kept) {
      kept[share.attempt] = share;
    }
    std::vector<KeptShare> all_kept;
    for (const auto& [attempt, share] : kept) {
      all_kept.push_back(share);
    }
    for (auto& shard : shards_) {
      shard->OnEntryExit(it.exited, outbox);
      DispatchShardOutbox(*shard, outbox);
      if (Serving(now, shard->number()) && shard->caught_up()) {
        std::vector<KeptShare> shard_kept = all_kept;
        std::erase_if(shard_kept, [&](const KeptShare& share) {
          return ShardOf(share.organisation) != shard->number();
        });
        shard->OnSweepComplete(it.exited, std::move(shard_kept));
      }
    }
    const auto member = control_.fold().members().find(it.exited);
    const bool unrecorded =
        member != control_.fold().members().end() && !member->second.exited;
    if (unrecorded) {
      control_writer_.Add(Exit{it.exited, exit_evidence_[it.exited]});
    }
  }
}

void Coordinator::StartDueSweeps(Millis now) {
  // An earlier incarnation at this instance's own address has exited, since
  // this process was able to bind the address.
  for (const auto& [incarnation, member] : control_.fold().members()) {
    if (!member.exited && member.address == self_.address &&
        incarnation != self_.incarnation) {
      OnExitEvidence(now, incarnation, "its address is bound by another");
    }
  }
  for (const auto& it : exit_evidence_) {
    const uint64_t incarnation = it.first;
    Millis& last_sweep_at = last_sweep_at_[incarnation];
    if (now < last_sweep_at + options_.sweep_interval) {
      continue;
    }
    last_sweep_at = now;
    const bool has_unreleased_shares =
        std::any_of(shards_.begin(), shards_.end(), [&](const auto& shard) {
          return Serving(now, shard->number()) &&
                 shard->view().fold().TokensHeldBy(incarnation) > 0;
        });
    if (has_unreleased_shares) {
      exit_sweep_.Start(incarnation);
    }
  }
}

void Coordinator::TickShards(Millis now, Millis wall) {
  const std::vector<uint64_t> suspected = membership_.Suspected(now);
  std::set<std::string> data_centres;
  for (const auto& [incarnation, member] : control_.fold().members()) {
    if (!member.exited) {
      data_centres.insert(member.data_centre);
    }
  }
  for (auto& shard : shards_) {
    std::string snapshot_data_centre;
    uint64_t max_weight = 0;
    for (const std::string& it : data_centres) {
      const uint64_t weight = RendezvousWeight(shard->stream(), it);
      if (weight >= max_weight) {
        max_weight = weight;
        snapshot_data_centre = it;
      }
    }
    Outbox outbox;
    shard->keeper().SetSuspected({suspected.begin(), suspected.end()});
    shard->OnTick(now, wall, Serving(now, shard->number()),
                  snapshot_data_centre == options_.data_centre, outbox);
    DispatchShardOutbox(*shard, outbox);
  }
  const std::vector<uint64_t> candidates =
      membership_.Candidates(now, ExcludedFromRoles());
  const bool writes_control_snapshots =
      RendezvousPick(ControlStreamName(), candidates) == self_.incarnation;
  const uint64_t limit =
      options_.control_snapshot_records *
      (writes_control_snapshots ? 1 : kSnapshotOverdueFactor);
  if (control_records_since_snapshot_ >= limit && control_.live()) {
    control_records_since_snapshot_ = 0;
    control_writer_.Add(control_.MakeSnapshot());
  }
}

void Coordinator::TickPlacer(Millis now) {
  const std::vector<uint64_t> candidates =
      membership_.Candidates(now, ExcludedFromRoles());
  const bool chosen = RendezvousPick("placer", candidates) == self_.incarnation;
  const auto term = control_.fold().TermOf(options_.data_centre);
  const bool holds_term = term.has_value() && term->holder == self_.incarnation;
  const bool should_request_term = catalog_ != nullptr &&
                                   !catalog_->placements.empty() &&
                                   control_caught_up_ && chosen && !holds_term;
  if (should_request_term && now >= term_requested_at_ + kTermRetryInterval) {
    term_requested_at_ = now;
    control_writer_.Add(Term{options_.data_centre, self_.incarnation});
  }
  placer_.SetTerm(now, holds_term && !draining_
                           ? std::optional(term->fencing_number)
                           : std::nullopt);
  if (catalog_ == nullptr) {
    return;
  }
  std::vector<PlacementSpec> placements;
  for (const auto& [name, it] : catalog_->placements) {
    placements.push_back(it);
  }
  for (Order& it : placer_.Decide(now, placements, endpoint_states_, demand_)) {
    control_writer_.Add(std::move(it));
  }
}

void Coordinator::TickProbeAssignment(Millis now) {
  RefreshRoles(now);
  const bool unchanged = assignment_config_version_ == config_version_ &&
                         assignment_role_changes_ == role_changes_;
  if (catalog_ == nullptr || unchanged) {
    return;
  }
  assignment_config_version_ = config_version_;
  assignment_role_changes_ = role_changes_;
  ProbeAssignment assignment;
  for (const auto& [name, spec] : catalog_->endpoints) {
    if (spec.data_centre == options_.data_centre &&
        RendezvousIsAmongTop(name, candidates_, self_.incarnation,
                             options_.probers_per_endpoint)) {
      assignment.endpoints.push_back(name);
    }
  }
  assignment.instances = std::max<int>(1, static_cast<int>(candidates_.size()));
  notices_.push_back(std::move(assignment));
}

void Coordinator::ReportEndpoints(std::vector<ProbeReport> reports,
                                  std::vector<Placer::EndpointState> states,
                                  std::map<std::string, int> demand) {
  own_probe_reports_ = std::move(reports);
  endpoint_states_ = std::move(states);
  demand_ = std::move(demand);
}

void Coordinator::SetSeeds(const std::vector<std::string>& addresses) {
  membership_.SetSeeds(addresses);
}

void Coordinator::Drain() {
  draining_ = true;
  roles_updated_at_ = Millis(-1);  // Recompute at the next call.
}

bool Coordinator::HoldsCharge(uint64_t attempt) const {
  return custody_.Holds(attempt) ||
         std::any_of(shards_.begin(), shards_.end(), [&](const auto& it) {
           return it->keeper().HoldsCharge(attempt);
         });
}

bool Coordinator::Drained() const {
  if (custody_.size() > 0 || control_writer_.backlog() > 0) {
    return false;
  }
  return std::all_of(shards_.begin(), shards_.end(), [this](const auto& it) {
    return it->writer().backlog() == 0 &&
           it->keeper().reservation_count() == 0 &&
           it->keeper().pending_charge_count() == 0 &&
           it->view().fold().TokensHeldBy(self_.incarnation) == 0;
  });
}

void Coordinator::QueueExit() {
  exit_queued_ = true;
  control_writer_.Add(Exit{self_.incarnation, "graceful shutdown"});
}

}  // namespace tamaracktrail
