#include "transport/entry_task.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include <glog/logging.h>

#include "transport/clock.h"
#include "transport/coordination_task.h"
#include "transport/endpoint_prober.h"
#include "transport/http_client.h"
#include "transport/internal/admission.h"
#include "transport/internal/status_json.h"
#include "transport/metrics.h"

namespace tamaracktrail {

namespace {

constexpr Millis kTick{50};
constexpr Millis kReportInterval{200};
//! A longer gap between ticks counts as a suspension of the process.
constexpr Millis kSuspendThreshold{700};

}  // namespace

EntryTask::EntryTask(Options options, Metrics* metrics)
    : options_(std::move(options)),
      metrics_(metrics),
      random_(options_.seed),
      endpoints_(options_.data_centre, options_.endpoints),
      calls_(options_.server.limits,
             options_.incarnation,
             &endpoints_,
             &random_,
             metrics) {}

EntryTask::~EntryTask() = default;

absl::Status EntryTask::Start(CoordinationTask* coordination) {
  coordination_ = coordination;
  task_.Start();
  absl::Status status;
  task_.PostAndWait([&] {
    http_ = std::make_unique<HttpClient>();
    prober_ = std::make_unique<EndpointProber>(
        http_.get(),
        [this](const EndpointObservation& it) { endpoints_.Observe(it); });
    calls_.SetDependencies(coordination_, http_.get(), prober_.get());
    EntryServer::Handler handler;
    handler.on_request = [this](Admission it) { calls_.Admit(std::move(it)); };
    handler.on_status = [this](SoupServerMessage* it) { ServeStatus(it); };
    server_ = std::make_unique<EntryServer>(options_.server, std::move(handler),
                                            &random_, metrics_);
    status = server_->Listen();
    last_tick_ = MonotonicNow();
    task_.RunEvery(kTick, [this] { Tick(); });
  });
  if (!status.ok()) {
    Stop();
  }
  return status;
}

void EntryTask::Drain() {
  task_.Post([this] { server_->Drain(); });
}

size_t EntryTask::OpenCalls() {
  size_t n = 0;
  task_.PostAndWait([&] { n = calls_.size(); });
  return n;
}

void EntryTask::Stop() {
  task_.PostAndWait([this] {
    calls_.Clear();
    server_.reset();
    prober_.reset();
    http_.reset();
  });
  task_.Stop();
}

void EntryTask::Notify(std::vector<EntryNotice> notices) {
  task_.Post([this, notices = std::move(notices)] {
    if (http_ == nullptr) {
      return;  // Stopped.
    }
    for (const EntryNotice& it : notices) {
      std::visit([this](const auto& notice) { Handle(notice); }, it);
    }
  });
}

void EntryTask::ServeStatus(SoupServerMessage* message) {
  g_object_ref(message);
  coordination_->GetStatus([this, message](const CoordinatorStatus& status) {
    task_.Post([message, body = StatusJson(status)] {
      soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
      soup_server_message_set_response(message, "application/json",
                                       SOUP_MEMORY_COPY, body.data(),
                                       body.size());
      soup_server_message_unpause(message);
      g_object_unref(message);
    });
  });
}

void EntryTask::Handle(const CatalogNotice& notice) {
  catalog_ = notice.catalog;
  server_->SetCatalog(catalog_);
  std::vector<EndpointSpec> specs;
  for (const auto& [name, spec] : catalog_->endpoints) {
    specs.push_back(spec);
  }
  endpoints_.SetSpecs(specs);
}

void EntryTask::Handle(const ProbeReportNotice& notice) {
  for (const EndpointObservation& it : notice.observations) {
    endpoints_.Observe(it);
  }
}

void EntryTask::Handle(const ProbeAssignment& notice) {
  assigned_endpoints_ = notice.endpoints;
  endpoints_.SetInstanceCount(notice.instances);
}

void EntryTask::Handle(const OrderNotice& notice) {
  const EndpointSpec* spec = endpoints_.Find(notice.order.endpoint);
  if (spec == nullptr) {
    return;
  }
  HttpClient::Request request;
  request.method = "POST";
  request.url = "http://" + spec->address + "/orders";
  request.body = nlohmann::json{{"action", notice.order.action},
                                {"target", notice.order.target},
                                {"fencing_number", notice.order.fencing_number}}
                     .dump();
  LOG(INFO) << "event=order endpoint=" << notice.order.endpoint
            << " action=" << notice.order.action
            << " target=" << notice.order.target
            << " fencing_number=" << notice.order.fencing_number;
  http_->Send(request, [this, order = notice.order](auto reply) {
    const bool ok = reply.ok() && reply->status == SOUP_STATUS_OK;
    metrics_->Count(ok ? "tamaracktrail_orders_total"
                       : "tamaracktrail_order_failures_total");
  });
}

void EntryTask::Tick() {
  if (http_ == nullptr) {
    return;  // Stopped.
  }
  const Millis now = MonotonicNow();
  if (now - last_tick_ > kSuspendThreshold) {
    // Observations from before a suspension of this process may be out of date.
    endpoints_.ForgetBefore(now);
    LOG(WARNING) << "event=paused ms=" << (now - last_tick_).count();
  }
  last_tick_ = now;
  for (const EndpointSpec& it : endpoints_.ToProbe(now, assigned_endpoints_)) {
    prober_->Probe(now, it);
  }
  if (now >= last_report_at_ + kReportInterval) {
    last_report_at_ = now;
    Report(now);
  }
  calls_.OnTick(now);
}

void EntryTask::Report(Millis now) {
  std::vector<Placer::EndpointState> states = EndpointStates(now);
  std::map<std::string, int> demand = Demand(now, states);
  coordination_->ReportEndpoints(
      endpoints_.ProbeReports(now, assigned_endpoints_), std::move(states),
      std::move(demand));
  metrics_->Set("tamaracktrail_open_requests",
                static_cast<double>(calls_.size()));
  metrics_->Set("tamaracktrail_queue_length",
                static_cast<double>(calls_.queue_length()));
}

std::vector<Placer::EndpointState> EntryTask::EndpointStates(Millis now) const {
  std::vector<Placer::EndpointState> states;
  for (const EndpointSpec& spec : endpoints_.Specs()) {
    if (spec.data_centre != options_.data_centre) {
      continue;
    }
    Placer::EndpointState state;
    state.name = spec.name;
    state.service = spec.service;
    state.checks_fencing = spec.checks_fencing;
    state.up = endpoints_.Usable(now, spec.name);
    state.in_flight = endpoints_.InFlight(spec.name);
    if (const auto last = endpoints_.LastObservation(spec.name)) {
      state.loaded = last->loaded;
      state.in_flight = std::max(state.in_flight, last->load);
    }
    states.push_back(std::move(state));
  }
  return states;
}

std::map<std::string, int> EntryTask::Demand(
    Millis now,
    const std::vector<Placer::EndpointState>& states) const {
  std::map<std::string, int> demand;
  if (catalog_ == nullptr) {
    return demand;
  }
  for (const auto& [name, placement] : catalog_->placements) {
    const std::string service = placement.service;
    const std::string target = placement.target;
    const auto copies = std::count_if(
        states.begin(), states.end(), [&](const Placer::EndpointState& it) {
          return it.service == service &&
                 std::find(it.loaded.begin(), it.loaded.end(), target) !=
                     it.loaded.end();
        });
    // A service whose endpoints have no free slots needs one more copy.
    const int extra_copies = endpoints_.FreeSlots(now, service) == 0 ? 1 : 0;
    demand[name] = static_cast<int>(copies) + extra_copies;
  }
  return demand;
}

}  // namespace tamaracktrail
