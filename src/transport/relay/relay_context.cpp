#include "transport/relay/relay_context.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "state/routing_config.h"
#include "transport/event_loop.h"
#include "transport/log_line.h"
#include "transport/relay/connection_probe.h"
#include "transport/relay/relay_task.h"

namespace tamaracktrail {

namespace {

//! Prompt prefixes in the index: 2 MB at 100 bytes each.
constexpr size_t kPrefixIndexCapacity = 20000;

//! Time over which the demand for endpoints with limits is averaged.
constexpr Millis kDemandTime{3000};

//! A crashed endpoint refuses connections at once if its machine is alive.
constexpr Millis kCrashCheckTimeout{300};

//! Returns a number in [0, 1) that differs between incarnations.
double UniformFraction(uint64_t incarnation) {
  std::mt19937_64 random(incarnation);
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace

RelayContext::RelayContext(EventLoop* event_loop,
                           EventLog* event_log,
                           Metrics* metrics_sink,
                           CallDialect call_dialect,
                           Options deployment)
    : loop(event_loop),
      log(event_log),
      metrics(metrics_sink),
      dialect(std::move(call_dialect)),
      options(std::move(deployment)),
      prefix_cache_index(kPrefixIndexCapacity),
      placement(&registry, &prefix_cache_index, options.data_centre),
      shares({options.instance, options.incarnation, options.boot}),
      lending({options.instance, options.incarnation, options.peers_address},
              &shares),
      diversion(options.link_mbps),
      crashes(UniformFraction(options.incarnation)),
      pool(event_loop,
           [this](uint64_t endpoint) {
             crashes.OnEndpointDown(loop->Now(), endpoint);
           }),
      random(options.incarnation),
      fleet_part(event_loop->Now(),
                 options.retries.window,
                 options.first_start),
      retry_budgets(&fleet_part, options.retries) {
  registry.notices().cold().SetBounds(options.cold_start);
}

RelayContext::~RelayContext() = default;

void RelayContext::SetConfig(std::shared_ptr<const RoutingConfig> next) {
  config = std::move(next);
  shares.SetBudgets(config->organisations());
  std::map<std::string, double> cold_per_second;
  for (const RoutedService& it : config->services()) {
    cold_per_second[it.name] = it.cold_per_second;
  }
  registry.notices().cold().SetServices(loop->Now(),
                                        std::move(cold_per_second));
}

void RelayContext::SetInstances(int n) {
  instances = std::max(1, n);
  shares.SetInstances(instances);
}

void RelayContext::OnSharesChanged(ShareEvent event) {
  std::vector<RelayTask*> ordered(waiting_for_share.begin(),
                                  waiting_for_share.end());
  std::sort(ordered.begin(), ordered.end(),
            [](const RelayTask* a, const RelayTask* b) {
              return a->wait_order() < b->wait_order();
            });
  for (RelayTask* it : ordered) {
    if (waiting_for_share.contains(it)) {
      it->OnSharesChanged(event);
    }
  }
}

void RelayContext::CheckForCrash(uint64_t endpoint,
                                 const std::string& address) {
  if (crash_checks.contains(endpoint)) {
    return;
  }
  crash_checks[endpoint] = std::make_unique<ConnectionProbe>(
      loop, address, kCrashCheckTimeout, [this, endpoint](bool accepts) {
        // Keeps the probe alive until its callback has returned.
        const auto done = crash_checks.extract(endpoint);
        if (!accepts) {
          crashes.OnEndpointDown(loop->Now(), endpoint);
        }
      });
}

void RelayContext::LogLimitChange(uint64_t endpoint,
                                  const std::string& source,
                                  EndpointLimits::Change change) {
  if (change == EndpointLimits::Change::kNone) {
    return;
  }
  const EndpointState* state = registry.FindByHash(endpoint);
  LogLine(log, "endpoint_limit")
      .Add("endpoint", state == nullptr ? "" : state->entry.id)
      .Add("source", source)
      .Add("per_second",
           registry.notices().limits().LimitOf(endpoint).value_or(-1))
      .Add("own_per_second", registry.notices().limits().OwnRate(endpoint))
      .Add("instances", instances);
}

void RelayContext::LogLeaving(uint64_t endpoint,
                              const std::string& id,
                              const std::string& source) {
  const EndpointState* state = registry.FindByHash(endpoint);
  LogLine(log, "endpoint_leaving")
      .Add("endpoint", id)
      .Add("source", source)
      .Add("born", state == nullptr ? 0 : state->entry.start_unix_ms)
      .Add("open", state == nullptr ? 0 : state->own_load.open);
}

double RelayContext::UrgentDemand(const std::string& service, int rank) const {
  const auto it = limited_demand.find(service);
  double per_second = 0;
  if (it != limited_demand.end()) {
    for (const auto& [other, meter] : it->second) {
      per_second += other < rank ? meter.PerSecond(loop->Now()) : 0;
    }
  }
  return per_second;
}

void RelayContext::CountLimitedDemand(const std::string& service, int rank) {
  limited_demand[service]
      .emplace(rank, RateMeter(kDemandTime))
      .first->second.Add(loop->Now(), 1);
}

double RelayContext::RandomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace tamaracktrail
