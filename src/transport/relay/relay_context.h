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
#include "coordination/caller_diversion.h"
#include "coordination/cold_endpoints.h"
#include "coordination/crash_guard.h"
#include "coordination/endpoint_registry.h"
#include "coordination/fleet_part.h"
#include "coordination/link_congestion.h"
#include "coordination/placement.h"
#include "coordination/prefix_cache_index.h"
#include "coordination/rate_meter.h"
#include "coordination/retry_budgets.h"
#include "coordination/share_outage.h"
#include "coordination/token_lending.h"
#include "protocol/call_dialect.h"
#include "state/millis.h"
#include "transport/relay/connection_pool.h"
#include "transport/relay/share_event.h"

namespace tamaracktrail {

class ConnectionProbe;
class EventLog;
class EventLoop;
class Metrics;
class RelayTask;
class RoutingConfig;

//! State that all requests of an instance share. Not thread-safe.
struct RelayContext {
  //! Settings of the deployment.
  struct Options {
    std::string data_centre;
    std::string instance;
    uint64_t incarnation = 0;
    std::string boot;           //!< Identifies the boot of the machine.
    std::string peers_address;  //!< Where peers reach this instance.
    double link_mbps = 0;       //!< Of this instance; 0 if unknown.
    RetryBudgets::Limits retries;
    bool first_start = false;  //!< No instance of the fleet has run before.
    ColdEndpoints::Bounds cold_start;
  };

  //! Precondition: loop, log and metrics outlive the context.
  RelayContext(EventLoop* loop,
               EventLog* log,
               Metrics* metrics,
               CallDialect dialect,
               Options options);
  ~RelayContext();

  //! Applies a configuration to requests that arrive from now on.
  void SetConfig(std::shared_ptr<const RoutingConfig> next);

  //! Whether callers are sent to other instances.
  bool DivertsCallers() const {
    return outage.active() || congestion.active() || diversion.active();
  }

  //! Sets the number of instances that share the budgets.
  void SetInstances(int n);

  //! Shares may have grown, by a poll of the budget records or by a loan, or an
  //! attempt to borrow has ended: requests that wait for a share try to reserve
  //! again, in their `wait_order`.
  void OnSharesChanged(ShareEvent event);

  //! A connection to an endpoint broke before an answer: connects to it again,
  //! to learn at once whether it has crashed.
  void CheckForCrash(uint64_t endpoint, const std::string& address);

  //! Logs that the limit of an endpoint is known, changed or ended. `source`:
  //! who said so.
  void LogLimitChange(uint64_t endpoint,
                      const std::string& source,
                      EndpointLimits::Change change);

  //! Logs that an endpoint announced that it leaves. `source`: who said so.
  void LogLeaving(uint64_t endpoint,
                  const std::string& id,
                  const std::string& source);

  //! Requests a second, over the last seconds, for a service whose endpoints
  //! all have limits and that are more urgent than `rank`.
  double UrgentDemand(const std::string& service, int rank) const;
  void CountLimitedDemand(const std::string& service, int rank);

  //! Random number, uniform in [0, 1).
  double RandomFraction();

  EventLoop* loop;
  EventLog* log;
  Metrics* metrics;
  CallDialect dialect;
  Options options;
  std::shared_ptr<const RoutingConfig> config;
  EndpointRegistry registry;
  PrefixCacheIndex prefix_cache_index;
  Placement placement;
  BudgetShares shares;
  TokenLending lending;
  ShareOutage outage;
  LinkCongestion congestion;
  CallerDiversion diversion;
  CrashGuard crashes;
  ConnectionPool pool;
  //! By service and rank; see UrgentDemand.
  std::map<std::string, std::map<int, RateMeter>> limited_demand;
  //! See CheckForCrash; by endpoint.
  std::map<uint64_t, std::unique_ptr<ConnectionProbe>> crash_checks;
  std::mt19937_64 random;
  int instances = 1;
  FleetPart fleet_part;
  RetryBudgets retry_budgets;
  std::set<RelayTask*> waiting_for_share;
  //! During shutdown, no stream is admitted after `stream_admission_end`, and
  //! all answers have to be complete by `exit_deadline`. Both are 0 before the
  //! shutdown.
  Millis stream_admission_end;
  Millis exit_deadline;
  //! False while the store's budget records cannot be read, so that shares
  //! cannot grow.
  std::function<bool()> shares_can_grow = [] { return true; };
  //! Called when a share is insufficient for a request.
  std::function<void()> on_share_insufficient = [] {};
  //! Called when `lending` has messages to send.
  std::function<void()> on_lending = [] {};
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_RELAY_CONTEXT_H_
