#include "transport/coordination_task.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "state/digest.h"
#include "transport/clock.h"
#include "transport/metrics.h"

namespace tamaracktrail {

namespace {

constexpr Millis kTick{50};
constexpr Millis kListPeriod{2000};
constexpr Millis kReadRetryDelay{300};
constexpr Millis kMetricsPeriod{1000};
constexpr size_t kMaxEntriesPerRead = 200;
//! The process ends after a longer gap between ticks, because a writer without
//! a batch for 24 h (WriterChains::kWriterWindow) loses its hash chain. The
//! limit is half of that window.
constexpr Millis kMaxTickGap = kHour * 12;

}  // namespace

CoordinationTask::CoordinationTask(Options options,
                                   Metrics* metrics,
                                   OnNotices on_notices)
    : options_(std::move(options)),
      metrics_(metrics),
      on_notices_(std::move(on_notices)),
      batch_codec_(options_.key),
      frame_codec_(options_.key),
      coordinator_(std::make_unique<Coordinator>(options_.self,
                                                 options_.coordinator,
                                                 &batch_codec_)) {}

CoordinationTask::~CoordinationTask() = default;

absl::Status CoordinationTask::Start() {
  task_.Start();
  absl::Status status;
  task_.PostAndWait([&] {
    coordinator_->SetSeeds(options_.peers);
    http_ = std::make_unique<HttpClient>();
    log_ = std::make_unique<HttpLogService>(http_.get(), options_.log_url);
    list_ = std::make_unique<HttpInstanceList>(http_.get(), options_.list_url);
    mesh_ = std::make_unique<PeerMesh>(
        options_.self, options_.coordinator.data_centre, &frame_codec_,
        PeerMesh::Handler{[this](uint64_t from, const PeerMessage& message) {
                            const Millis now = MonotonicNow();
                            coordinator_->OnMessage(now, WallNow(), from,
                                                    message);
                            Flush(now);
                          },
                          [this](uint64_t incarnation, const std::string& why) {
                            const Millis now = MonotonicNow();
                            coordinator_->OnExitEvidence(now, incarnation, why);
                            Flush(now);
                          }});
    status = mesh_->Listen();
    if (!status.ok()) {
      return;
    }
    last_tick_ = MonotonicNow();
    task_.RunEvery(kTick, [this] { Tick(); });
    task_.RunEvery(kMetricsPeriod, [this] { PublishMetrics(MonotonicNow()); });
    if (!options_.list_url.empty()) {
      FetchList();
      task_.RunEvery(kListPeriod, [this] { FetchList(); });
    }
  });
  if (!status.ok()) {
    Stop();
  }
  return status;
}

void CoordinationTask::Stop() {
  task_.PostAndWait([this] {
    mesh_.reset();
    http_.reset();
  });
  task_.Stop();
}

bool CoordinationTask::DrainAndRecordExit(Millis deadline) {
  constexpr auto kPollInterval = std::chrono::milliseconds(20);
  task_.PostAndWait([this] { coordinator_->Drain(); });
  bool exit_queued = false;
  bool drained = false;
  while (MonotonicNow() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
    task_.PostAndWait([&] { drained = coordinator_->Drained(); });
    if (drained && exit_queued) {
      return true;
    }
    if (drained) {
      exit_queued = true;
      task_.PostAndWait([this] { coordinator_->QueueExit(); });
    }
  }
  return false;
}

void CoordinationTask::PostAndFlush(std::function<void(Millis)> action) {
  task_.Post([this, action = std::move(action)] {
    const Millis now = MonotonicNow();
    action(now);
    Flush(now);
  });
}

void CoordinationTask::Reserve(const ReserveRequest& request) {
  PostAndFlush([=, this](Millis now) {
    coordinator_->Reserve(now, WallNow(), request);
  });
}

void CoordinationTask::EndReservation(const ReservationEnd& end) {
  PostAndFlush(
      [=, this](Millis now) { coordinator_->EndReservation(now, end); });
}

void CoordinationTask::Settle(const SettleRequest& request) {
  PostAndFlush([=, this](Millis now) { coordinator_->Settle(now, request); });
}

void CoordinationTask::Withdraw(const Charge& charge) {
  PostAndFlush([=, this](Millis now) { coordinator_->Withdraw(now, charge); });
}

void CoordinationTask::AppendRecord(const std::string& organisation,
                                    const Record& record) {
  PostAndFlush(
      [=, this](Millis) { coordinator_->AppendRecord(organisation, record); });
}

void CoordinationTask::CheckContent(uint64_t attempt,
                                    const std::string& content) {
  PostAndFlush([=, this](Millis now) {
    coordinator_->CheckContent(now, attempt, content);
  });
}

void CoordinationTask::ReportCrash(uint64_t attempt, const Crash& crash) {
  PostAndFlush([=, this](Millis now) {
    coordinator_->ReportCrash(now, attempt, crash);
  });
}

void CoordinationTask::ReportContentEnd(uint64_t attempt,
                                        const std::string& content,
                                        bool succeeded) {
  PostAndFlush([=, this](Millis) {
    coordinator_->ReportContentEnd(attempt, content, succeeded);
  });
}

void CoordinationTask::ReportEndpoints(
    std::vector<ProbeReport> probe_reports,
    std::vector<Placer::EndpointState> states,
    std::map<std::string, int> demand) {
  PostAndFlush([=, this](Millis) {
    coordinator_->ReportEndpoints(probe_reports, states, demand);
  });
}

void CoordinationTask::GetStatus(
    std::function<void(const CoordinatorStatus&)> done) {
  task_.Post([this, done = std::move(done)] {
    done(coordinator_->Status(MonotonicNow()));
  });
}

void CoordinationTask::Tick() {
  if (mesh_ == nullptr) {
    return;  // Stopped.
  }
  const Millis now = MonotonicNow();
  CHECK(now - last_tick_ < kMaxTickGap) << "paused for too long to go on";
  last_tick_ = now;
  mesh_->FreeClosed();
  coordinator_->OnTick(now, WallNow());
  for (const auto& [address, incarnation] :
       coordinator_->UnresponsiveMembers(now)) {
    mesh_->CheckReachable(now, InstanceId{address, incarnation});
  }
  for (const auto& [address, peer] : coordinator_->membership().peers()) {
    // The incarnation of a peer is 0 until its first heartbeat.
    if (peer.incarnation != 0) {
      mesh_->CheckReachable(now, InstanceId{address, peer.incarnation});
    }
  }
  Flush(now);
  StartReads(now);
}

const InstanceId* CoordinationTask::FindInstance(uint64_t incarnation) {
  const Membership::Peer* peer =
      coordinator_->membership().ByIncarnation(incarnation);
  if (peer != nullptr) {
    known_instances_[incarnation] = InstanceId{peer->address, incarnation};
  } else if (!known_instances_.contains(incarnation)) {
    const auto& members = coordinator_->control().members();
    auto it = members.find(incarnation);
    if (it != members.end()) {
      known_instances_[incarnation] =
          InstanceId{it->second.address, incarnation};
    }
  }
  auto it = known_instances_.find(incarnation);
  return it == known_instances_.end() ? nullptr : &it->second;
}

void CoordinationTask::Flush(Millis now) {
  if (mesh_ == nullptr) {
    return;  // Stopped.
  }
  for (const uint64_t it : coordinator_->TakeExited()) {
    mesh_->Drop(it);
    known_instances_.erase(it);
  }
  for (const Outbox::Message& it : coordinator_->TakeMessages()) {
    const InstanceId* to = FindInstance(it.to);
    if (to != nullptr) {
      mesh_->Send(*to, it.message);
    }
  }
  for (const auto& [address, heartbeat] : coordinator_->TakeHeartbeats(now)) {
    mesh_->SendDatagram(address, heartbeat);
  }
  for (Coordinator::StreamAppend& it :
       coordinator_->TakeAppends(now, WallNow())) {
    const std::string stream = it.stream;
    log_->Append(stream, it.payload, [this, stream](auto offset) {
      const Millis answered = MonotonicNow();
      coordinator_->OnAppended(answered, stream, offset.ok());
      metrics_->Count(offset.ok() ? "tamaracktrail_log_appends_total"
                                  : "tamaracktrail_log_append_failures_total");
    });
  }
  std::vector<EntryNotice> notices = coordinator_->TakeNotices();
  if (!notices.empty()) {
    on_notices_(std::move(notices));
  }
}

void CoordinationTask::StartReads(Millis now) {
  for (const auto& [stream, from] : coordinator_->StreamsToRead(now)) {
    if (!streams_being_read_.contains(stream) && now >= next_read_at_[stream]) {
      Read(stream, from);
    }
  }
}

void CoordinationTask::Read(const std::string& stream, uint64_t from) {
  streams_being_read_.insert(stream);
  log_->Read(stream, from, kMaxEntriesPerRead, options_.read_wait,
             [this, stream](absl::StatusOr<LogPage> page) {
               const Millis now = MonotonicNow();
               streams_being_read_.erase(stream);
               if (!page.ok() || mesh_ == nullptr) {
                 ++read_failures_;
                 next_read_at_[stream] = now + kReadRetryDelay;
                 return;
               }
               const bool at_end = page->entries.empty() ||
                                   page->entries.back().offset + 1 == page->end;
               coordinator_->OnLogEntries(now, stream, page->entries, at_end);
               Flush(now);
               if (coordinator_->StreamsToRead(now).contains(stream)) {
                 Read(stream, coordinator_->StreamsToRead(now).at(stream));
               }
             });
}

void CoordinationTask::FetchList() {
  if (mesh_ == nullptr) {
    return;  // Stopped.
  }
  list_->Fetch([this](auto instances) {
    if (!instances.ok()) {
      return;
    }
    std::vector<std::string> addresses = options_.peers;
    for (const ListedInstance& it : *instances) {
      if (it.data_centre == options_.coordinator.data_centre) {
        addresses.push_back(it.address);
      }
    }
    coordinator_->SetSeeds(addresses);
  });
}

void CoordinationTask::PublishMetrics(Millis now) {
  if (mesh_ == nullptr) {
    return;  // Stopped.
  }
  const CoordinatorStatus status = coordinator_->Status(now);
  const auto live =
      std::count_if(status.peers.begin(), status.peers.end(),
                    [](const auto& it) { return it.state == "live"; });
  metrics_->Set("tamaracktrail_config_version",
                static_cast<double>(status.config_version));
  metrics_->Set("tamaracktrail_live_peers", static_cast<double>(live));
  metrics_->Set("tamaracktrail_log_backlog_records",
                static_cast<double>(status.backlog));
  metrics_->Set("tamaracktrail_log_consecutive_failures",
                status.append_failures);
  metrics_->Set("tamaracktrail_log_read_failures_total",
                static_cast<double>(read_failures_));
  metrics_->Set("tamaracktrail_stuck_tokens",
                static_cast<double>(status.stuck_tokens));
  metrics_->Set("tamaracktrail_charges_in_custody",
                static_cast<double>(status.charges_in_custody));
  metrics_->Set("tamaracktrail_open_exit_sweeps",
                static_cast<double>(status.open_sweeps));
  const PeerMesh::Counters& counters = mesh_->counters();
  metrics_->Set("tamaracktrail_bad_frames_total",
                static_cast<double>(counters.bad_frames));
  metrics_->Set("tamaracktrail_peer_messages_dropped_total",
                static_cast<double>(counters.dropped_messages));
}

}  // namespace tamaracktrail
