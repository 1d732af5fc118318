#include "support/fake_fleet.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "cli/record_text.h"
#include "protocol/result_info.h"
#include "state/batch.h"
#include "state/digest.h"

namespace tamaracktrail {

namespace {

constexpr Millis kTick{50};

}  // namespace

FakeFleet::FakeFleet(const Options& options)
    : options_(options), random_(options.seed), codec_("a key for tests") {
  log_.set_retained_entries(options.log_retention);
  for (int data_centre_index = 0; data_centre_index < options.data_centres;
       ++data_centre_index) {
    for (int i = 0; i < options.instances; ++i) {
      Node node;
      node.address =
          absl::StrCat("10.0.", data_centre_index, ".", i + 1, ":7000");
      node.data_centre = absl::StrCat("dc", data_centre_index);
      node.data_centre_index = data_centre_index;
      nodes_.push_back(std::move(node));
    }
  }
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Start(i);
  }
}

FakeFleet::~FakeFleet() = default;

Millis FakeFleet::WallNow() const {
  return kWallStart + events_.now();
}

int64_t FakeFleet::RandomInt(int64_t low, int64_t high) {
  return std::uniform_int_distribution<int64_t>(low, high)(random_);
}

bool FakeFleet::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void FakeFleet::Start(size_t i) {
  Node& node = nodes_[i];
  ++node.generation;
  node.alive = true;
  node.paused = false;
  node.draining = false;
  node.exit_queued = false;
  node.deferred_events.clear();
  node.flows.clear();
  node.pending_reads.clear();
  node.incarnation = random_() | 1;  // Not 0, which stands for none.
  Coordinator::Options options = options_.coordinator;
  options.data_centre = node.data_centre;
  options.ledger.keeper.data_centres = options_.data_centres;
  node.coordinator = std::make_unique<Coordinator>(
      InstanceId{node.address, node.incarnation}, options, &codec_);
  node.retries = std::make_unique<RetryBudget>(/*ratio=*/0.2, /*burst=*/20);
  std::vector<std::string> seeds;
  for (const Node& it : nodes_) {
    if (it.data_centre_index == node.data_centre_index) {
      seeds.push_back(it.address);
    }
  }
  node.coordinator->SetSeeds(seeds);
  Tick(i);
}

void FakeFleet::RunOn(size_t i,
                      std::function<void(Node&)> event,
                      Millis delay) {
  const uint64_t generation = nodes_[i].generation;
  events_.After(delay, [this, i, generation, event = std::move(event)] {
    Node& node = nodes_[i];
    if (!node.alive || node.generation != generation) {
      return;
    }
    if (node.paused) {
      node.deferred_events.push_back([this, i, event] {
        event(nodes_[i]);
        Flush(i);
      });
      return;
    }
    event(node);
    Flush(i);
  });
}

void FakeFleet::Tick(size_t i) {
  RunOn(
      i,
      [this, i](Node& node) {
        node.coordinator->OnTick(now(), WallNow());
        std::vector<uint64_t> attempts;
        for (const auto& [attempt, flow] : node.flows) {
          attempts.push_back(attempt);
        }
        for (const uint64_t it : attempts) {
          if (node.flows.contains(it)) {
            PerformActions(i, it, node.flows.at(it)->OnTick(now()));
          }
        }
        CheckExits(i);
        for (const auto& [stream, from] :
             node.coordinator->StreamsToRead(now())) {
          ReadStream(i, stream, from);
        }
        if (node.draining && node.flows.empty() &&
            node.coordinator->Drained()) {
          if (node.exit_queued) {
            Kill(i);
            return;
          }
          node.exit_queued = true;
          node.coordinator->QueueExit();
        }
        Tick(i);
      },
      kTick);
}

void FakeFleet::Flush(size_t i) {
  Node& node = nodes_[i];
  if (!node.alive) {
    return;
  }
  node.coordinator->TakeExited();
  for (const Outbox::Message& it : node.coordinator->TakeMessages()) {
    Send(i, it);
  }
  for (const auto& [address, heartbeat] :
       node.coordinator->TakeHeartbeats(now())) {
    for (size_t to = 0; to < nodes_.size(); ++to) {
      const bool lost =
          cut_links_.contains({i, to}) || Chance(lost_message_rate_);
      if (nodes_[to].address == address && !lost) {
        RunOn(
            to,
            [this, heartbeat = heartbeat](Node& it) {
              it.coordinator->OnMessage(now(), WallNow(),
                                        heartbeat.from.incarnation, heartbeat);
            },
            Millis(RandomInt(1, 4)));
      }
    }
  }
  for (const Coordinator::StreamAppend& it :
       node.coordinator->TakeAppends(now(), WallNow())) {
    AppendToLog(i, it);
  }
  for (const EntryNotice& it : node.coordinator->TakeNotices()) {
    HandleNotice(i, it);
  }
}

void FakeFleet::Send(size_t from, const Outbox::Message& outgoing) {
  for (size_t to = 0; to < nodes_.size(); ++to) {
    const bool lost =
        cut_links_.contains({from, to}) || Chance(lost_message_rate_);
    if (nodes_[to].incarnation == outgoing.to && nodes_[to].alive && !lost) {
      const uint64_t sender = nodes_[from].incarnation;
      Millis& at = delivered_at_[{from, to}];
      at = std::max(at, now() + Millis(RandomInt(1, 3)));
      RunOn(
          to,
          [this, sender, message = outgoing.message](Node& it) {
            it.coordinator->OnMessage(now(), WallNow(), sender, message);
          },
          at - now());
    }
  }
}

bool FakeFleet::LogReachable(const Node& node) const {
  return !log_down_ &&
         !data_centres_cut_from_log_.contains(node.data_centre_index);
}

void FakeFleet::AppendToLog(size_t i, const Coordinator::StreamAppend& append) {
  const int64_t latency = options_.log_latency.count();
  // Not bound to the instance: an append that was sent takes effect even if the
  // instance is killed.
  events_.After(Millis(RandomInt(latency / 2, latency)), [this, i, append] {
    const bool reachable = LogReachable(nodes_[i]);
    if (reachable) {
      log_.Append(append.stream, append.payload);
    }
    const bool ok = reachable && !Chance(lost_answer_rate_);
    // A failure is reported later than a success.
    RunOn(
        i,
        [this, append, ok](Node& it) {
          it.coordinator->OnAppended(now(), append.stream, ok);
        },
        Millis(ok ? 2 : 300));
  });
}

void FakeFleet::ReadStream(size_t i, const std::string& stream, uint64_t from) {
  Node& node = nodes_[i];
  if (!node.pending_reads.insert(stream).second) {
    return;
  }
  const int64_t latency = options_.log_latency.count();
  RunOn(
      i,
      [this, stream, from](Node& it) {
        it.pending_reads.erase(stream);
        if (!LogReachable(it)) {
          return;
        }
        constexpr size_t kMaxEntries = 200;
        const std::vector<LogEntry> entries =
            log_.Read(stream, from, kMaxEntries);
        const bool at_end =
            entries.empty() || entries.back().offset + 1 == log_.End(stream);
        it.coordinator->OnLogEntries(now(), stream, entries, at_end);
      },
      Millis(RandomInt(latency / 2, latency)));
}

void FakeFleet::CheckExits(size_t i) {
  Node& node = nodes_[i];
  for (const auto& [address, incarnation] :
       node.coordinator->UnresponsiveMembers(now())) {
    for (const Node& it : nodes_) {
      // Evidence of an exit is a refused connection or an answer of another
      // incarnation. A paused or unreachable process gives neither.
      const bool cut =
          cut_links_.contains({i, static_cast<size_t>(&it - nodes_.data())});
      const bool gone = !it.alive || it.incarnation != incarnation;
      if (it.address == address && gone && !it.paused && !cut) {
        node.coordinator->OnExitEvidence(now(), incarnation, "refused");
      }
    }
  }
}

void FakeFleet::HandleNotice(size_t i, const EntryNotice& notice) {
  Node& node = nodes_[i];
  const auto apply_to_flow = [&](uint64_t attempt, const auto& apply) {
    auto it = node.flows.find(attempt);
    if (it != node.flows.end()) {
      PerformActions(i, attempt, apply(*it->second));
    }
  };
  if (const auto* reply = std::get_if<ReserveReply>(&notice)) {
    apply_to_flow(reply->attempt, [&](RequestFlow& flow) {
      return flow.OnReserveReply(now(), *reply);
    });
  } else if (const auto* settled = std::get_if<SettledNotice>(&notice)) {
    apply_to_flow(settled->attempt, [&](RequestFlow& flow) {
      return flow.OnSettled(now(), settled->safe);
    });
  } else if (const auto* verdict = std::get_if<ContentVerdict>(&notice)) {
    apply_to_flow(verdict->attempt, [&](RequestFlow& flow) {
      return flow.OnContent(now(), verdict->code);
    });
  }
}

uint64_t FakeFleet::Call(size_t instance,
                         const std::string& organisation,
                         const std::string& key,
                         int64_t worst_case,
                         bool repeatable) {
  Node& node = nodes_[instance];
  if (!node.alive || node.paused || node.draining ||
      !node.coordinator->ready()) {
    return 0;
  }
  const uint64_t attempt = random_() | 1;  // Not 0, which reports a refusal.
  FlowSpec spec;
  spec.organisation = organisation;
  spec.key = key;
  spec.service = "service";
  spec.content = Hex(StableHash(key));
  spec.entry = node.incarnation;
  spec.attempt = attempt;
  spec.config_version = node.coordinator->config_version();
  spec.worst_case = worst_case;
  spec.repeatable = repeatable;
  outcomes_[attempt] = CallOutcome{organisation, key, repeatable};
  outcomes_[attempt].worst_case = worst_case;
  outcomes_[attempt].entry_instance = instance;
  auto flow = std::make_unique<RequestFlow>(spec, node.retries.get());
  RequestFlow& it = *flow;
  node.flows[attempt] = std::move(flow);
  PerformActions(instance, attempt, it.Start(now()));
  Flush(instance);
  return attempt;
}

void FakeFleet::PerformActions(size_t i,
                               uint64_t attempt,
                               const RequestFlow::Actions& actions) {
  for (const FlowAction& it : actions) {
    PerformAction(i, attempt, it);
  }
}

void FakeFleet::PerformAction(size_t i,
                              uint64_t attempt,
                              const FlowAction& action) {
  Node& node = nodes_[i];
  Coordinator& coordinator = *node.coordinator;
  if (const auto* check = std::get_if<CheckContent>(&action)) {
    coordinator.CheckContent(now(), attempt, check->content);
  } else if (const auto* reserve = std::get_if<ReserveRequest>(&action)) {
    coordinator.Reserve(now(), WallNow(), *reserve);
  } else if (const auto* end = std::get_if<ReservationEnd>(&action)) {
    coordinator.EndReservation(now(), *end);
  } else if (std::holds_alternative<DispatchCall>(action)) {
    RequestFlow& flow = *node.flows.at(attempt);
    PerformActions(i, attempt, flow.OnDispatched(now(), "endpoint"));
    CallEndpoint(i, attempt, flow.spec().worst_case);
  } else if (std::holds_alternative<ConfirmCrash>(action)) {
    RequestFlow& flow = *node.flows.at(attempt);
    PerformActions(i, attempt, flow.OnCrashVerdict(now(), false));
  } else if (const auto* settle = std::get_if<SettleCharge>(&action)) {
    outcomes_[attempt].settle_requested = true;
    coordinator.Settle(now(), settle->request);
  } else if (const auto* withdraw = std::get_if<WithdrawCharge>(&action)) {
    coordinator.Withdraw(now(), withdraw->charge);
  } else if (const auto* append = std::get_if<AppendRecord>(&action)) {
    coordinator.AppendRecord(outcomes_[attempt].organisation, append->record);
  } else if (const auto* finish = std::get_if<FinishRequest>(&action)) {
    CallOutcome& outcome = outcomes_[attempt];
    outcome.done = true;
    outcome.code = finish->code;
    outcome.run_state = finish->run_state;
    const bool budget = finish->code == ResultCode::kBudgetHeldElsewhere ||
                        finish->code == ResultCode::kBudgetUnavailable ||
                        finish->code == ResultCode::kBudgetExhausted;
    outcome.falsely_refused =
        budget && UnspentTokens(outcome.organisation) >= outcome.worst_case;
    const uint64_t generation = node.generation;
    // Deferred: the callers of this function may still use the flow.
    events_.After(Millis(1), [this, i, attempt, generation] {
      if (nodes_[i].generation == generation) {
        nodes_[i].flows.erase(attempt);
      }
    });
  }
}

void FakeFleet::CallEndpoint(size_t i, uint64_t attempt, int64_t worst_case) {
  UpstreamEvent event;
  const double fraction = std::uniform_real_distribution<double>(0, 1)(random_);
  if (fraction < failed_call_rate_ / 3) {
    event.kind = UpstreamEvent::Kind::kRefused;
  } else if (fraction < failed_call_rate_) {
    event.kind = UpstreamEvent::Kind::kConnectionLost;
    outcomes_[attempt].runs += Chance(0.5) ? 1 : 0;
  } else {
    event.kind = UpstreamEvent::Kind::kEnd;
    event.status = 200;
    event.prompt_tokens = RandomInt(0, worst_case / 2);
    event.completion_tokens = RandomInt(1, worst_case / 2 + 1);
    outcomes_[attempt].runs += 1;
  }
  RunOn(
      i,
      [this, i, attempt, event](Node& node) {
        auto it = node.flows.find(attempt);
        if (it != node.flows.end()) {
          PerformActions(i, attempt, it->second->OnUpstream(now(), event));
        }
      },
      Millis(RandomInt(20, 400)));
}

// Operators.

void FakeFleet::AppendAsOperator(const std::string& stream, Record record) {
  Batch batch{random_() | 1, 1, "", WallNow(), {std::move(record)}};
  log_.Append(stream, codec_.Encode(batch));
}

void FakeFleet::TopUpBudget(const std::string& organisation, int64_t tokens) {
  const uint32_t shard = static_cast<uint32_t>(StableHash(organisation) %
                                               options_.coordinator.shards);
  AppendAsOperator(LedgerShard::StreamName(shard),
                   TopUp{organisation, Hex(random_()), tokens, "test"});
}

uint64_t FakeFleet::Publish(uint64_t base, const std::string& id) {
  AppendAsOperator("control", Configuration{base, id, "test", {}});
  return log_.End("control") - 1;
}

// Faults.

void FakeFleet::MarkLostCharges(size_t killed) {
  const Coordinator& killed_coordinator = *nodes_[killed].coordinator;
  for (auto& entry : outcomes_) {
    const uint64_t attempt = entry.first;
    CallOutcome& outcome = entry.second;
    if (!outcome.settle_requested || outcome.charge_lost) {
      continue;
    }
    const bool withheld = outcome.done && outcome.code != ResultCode::kOk;
    const bool held = killed_coordinator.HoldsCharge(attempt);
    const bool held_elsewhere =
        std::any_of(nodes_.begin(), nodes_.end(), [&](const Node& it) {
          return it.alive && it.coordinator->HoldsCharge(attempt);
        });
    outcome.charge_lost = (held && !held_elsewhere) ||
                          (withheld && outcome.entry_instance == killed);
  }
}

void FakeFleet::Kill(size_t instance) {
  Node& node = nodes_[instance];
  if (node.alive) {
    node.alive = false;
    MarkLostCharges(instance);
  }
  node.alive = false;
  node.paused = false;
  ++node.generation;
  node.flows.clear();
}

void FakeFleet::Restart(size_t instance) {
  if (!nodes_[instance].alive) {
    Start(instance);
  }
}

void FakeFleet::Pause(size_t instance) {
  nodes_[instance].paused = nodes_[instance].alive;
}

void FakeFleet::Resume(size_t instance) {
  Node& node = nodes_[instance];
  if (!node.paused) {
    return;
  }
  node.paused = false;
  for (const auto& it : std::exchange(node.deferred_events, {})) {
    if (node.alive) {
      it();
    }
  }
}

void FakeFleet::Drain(size_t instance) {
  Node& node = nodes_[instance];
  if (node.alive && !node.paused) {
    node.draining = true;
    node.coordinator->Drain();
  }
}

void FakeFleet::CutFromLog(int data_centre, bool cut) {
  if (cut) {
    data_centres_cut_from_log_.insert(data_centre);
  } else {
    data_centres_cut_from_log_.erase(data_centre);
  }
}

void FakeFleet::CutLink(size_t from, size_t to, bool cut) {
  if (cut) {
    cut_links_.insert({from, to});
  } else {
    cut_links_.erase({from, to});
  }
}

void FakeFleet::EndAllFaults() {
  log_down_ = false;
  data_centres_cut_from_log_.clear();
  cut_links_.clear();
  lost_answer_rate_ = 0;
  lost_message_rate_ = 0;
  failed_call_rate_ = 0;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Resume(i);
    Restart(i);
  }
}

bool FakeFleet::ready(size_t instance) const {
  const Node& node = nodes_[instance];
  return node.alive && !node.paused && node.coordinator->ready();
}

}  // namespace tamaracktrail
