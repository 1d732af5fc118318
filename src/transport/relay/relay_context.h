#ifndef TRANSPORT_RELAY_RELAY_CONTEXT_H_
#define TRANSPORT_RELAY_RELAY_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "coordination/budget_shares.h"
#include "coordination/crash_guard.h"
#include "coordination/endpoint_board.h"
#include "coordination/link_congestion.h"
#include "coordination/placement.h"
#include "coordination/prefix_memory.h"
#include "coordination/retry_budget.h"
#include "coordination/share_outage.h"
#include "protocol/call_dialect.h"
#include "state/millis.h"
#include "transport/relay/endpoint_pool.h"

namespace tamaracktrail {

class EventLog;
class EventLoop;
class Metrics;
class RelayTask;
class RoutingConfig;

//! What all requests of an instance share. Not thread-safe.
struct RelayContext {
  //! Figures of the deployment.
  struct Options {
    std::string data_centre;
    std::string instance;
    uint64_t incarnation = 0;
    std::string boot;          //!< Names the boot of the machine.
    double retry_ratio = 0.2;  //!< Retries a request, over all instances.
    double retry_extra = 0;    //!< More retries a window, over all instances.
  };

  //! Precondition: loop, log and metrics outlive the context.
  RelayContext(EventLoop* loop,
               EventLog* log,
               Metrics* metrics,
               CallDialect dialect,
               Options options);
  ~RelayContext();

  //! A configuration came into force.
  void SetConfig(std::shared_ptr<const RoutingConfig> next);

  //! Whether callers had better reach another instance.
  bool SendsCallersElsewhere() const {
    return outage.active() || congestion.active();
  }

  //! How many instances share budgets and retries.
  void SetInstances(int n);

  //! The retry budget of a service.
  RetryBudget& Retries(const std::string& service);

  //! Requests that wait for a share look again.
  void OnSharesChanged();

  //! Uniform in [0, 1).
  double Draw();

  EventLoop* loop;
  EventLog* log;
  Metrics* metrics;
  CallDialect dialect;
  Options options;
  std::shared_ptr<const RoutingConfig> config;
  EndpointBoard board;
  PrefixMemory memory;
  Placement placement;
  BudgetShares shares;
  ShareOutage outage;
  LinkCongestion congestion;
  CrashGuard crashes;
  EndpointPool pool;
  std::mt19937_64 random;
  int instances = 1;
  std::map<std::string, RetryBudget> retries;
  std::set<RelayTask*> waiting;
  //! While the process ends: no new streams after the first, and no answer
  //! after the second; 0 for no end in sight.
  Millis last_stream_at;
  Millis ends_at;
  //! Whether shares can grow: false while the log cannot be reached.
  std::function<bool()> shares_can_grow = [] { return true; };
  //! Called when a request is short of a share.
  std::function<void()> on_share_short = [] {};
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_RELAY_CONTEXT_H_
