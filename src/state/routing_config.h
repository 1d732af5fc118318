#ifndef STATE_ROUTING_CONFIG_H_
#define STATE_ROUTING_CONFIG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/caller_limits.h"
#include "state/organisation.h"
#include "state/route.h"
#include "state/routed_service.h"

namespace tamaracktrail {

//! One version of the configuration, indexed for lookups. Immutable, hence
//! thread-safe.
class RoutingConfig {
 public:
  RoutingConfig(int64_t version,
                std::vector<Route> routes,
                std::vector<RoutedService> services,
                std::vector<Organisation> organisations,
                CallerLimits limits);

  int64_t version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  const std::vector<Route>& routes() const { return routes_; }
  const std::vector<RoutedService>& services() const { return services_; }
  const std::vector<Organisation>& organisations() const {
    return organisations_;
  }

  //! Returns the route of `host` with the longest prefix of `path`; nullptr if
  //! none matches. Ignores the port of `host` and the query of `path`.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  //! Returns nullptr for an unknown service.
  const RoutedService* FindService(const std::string& name) const;

  //! Returns the organisation that holds an API key; nullptr for an unknown
  //! key.
  const Organisation* FindOrganisationByKey(const std::string& key) const;

  //! Whether routes that are not public require an API key.
  bool has_organisations() const { return !organisations_.empty(); }

 private:
  int64_t version_;
  std::vector<Route> routes_;
  std::vector<RoutedService> services_;
  std::vector<Organisation> organisations_;
  CallerLimits limits_;
  //! Indexes into `routes_` by host, longest prefix first.
  std::unordered_map<std::string, std::vector<size_t>> by_host_;
  std::unordered_map<std::string, size_t> by_service_;
  std::unordered_map<std::string, size_t> by_key_;
};

}  // namespace tamaracktrail

#endif  // STATE_ROUTING_CONFIG_H_
