#include "transport/relay/relay_context.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "state/routing_config.h"
#include "transport/event_loop.h"
#include "transport/relay/relay_task.h"

namespace tamaracktrail {

namespace {

//! Beginnings of prompts that are remembered; about 100 bytes each.
constexpr size_t kRememberedBeginnings = 20000;

//! Part of the fleet's retry budget that is used: instances start, and their
//! windows do not begin together.
constexpr double kRetryMargin = 0.8;

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
      memory(kRememberedBeginnings),
      placement(&board, &memory, options.data_centre),
      shares({options.instance, options.incarnation, options.boot}),
      pool(event_loop,
           [this](uint64_t endpoint) {
             crashes.OnEndpointDown(loop->Now(), endpoint);
           }),
      random(options.incarnation) {}

RelayContext::~RelayContext() = default;

void RelayContext::SetConfig(std::shared_ptr<const RoutingConfig> next) {
  config = std::move(next);
  shares.SetBudgets(config->organisations());
}

void RelayContext::SetInstances(int n) {
  instances = std::max(1, n);
  shares.SetInstances(instances);
  for (auto& [service, budget] : retries) {
    budget.SetBurst(options.retry_extra * kRetryMargin / instances);
  }
}

RetryBudget& RelayContext::Retries(const std::string& service) {
  const auto it = retries.find(service);
  if (it != retries.end()) {
    return it->second;
  }
  return retries
      .emplace(service,
               RetryBudget(options.retry_ratio * kRetryMargin,
                           options.retry_extra * kRetryMargin / instances))
      .first->second;
}

void RelayContext::OnSharesChanged() {
  std::vector<RelayTask*> ordered(waiting.begin(), waiting.end());
  std::sort(ordered.begin(), ordered.end(),
            [](const RelayTask* a, const RelayTask* b) {
              return a->wait_order() < b->wait_order();
            });
  for (RelayTask* it : ordered) {
    if (waiting.contains(it)) {
      it->OnSharesChanged();
    }
  }
}

double RelayContext::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace tamaracktrail
