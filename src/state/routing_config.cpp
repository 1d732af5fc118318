#include "state/routing_config.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"

namespace tamaracktrail {

namespace {

//! Returns the host without its port, in lower case.
std::string NormalizeHost(std::string_view host) {
  const std::string text(host.substr(0, host.find(':')));
  return absl::AsciiStrToLower(text);
}

}  // namespace

RoutingConfig::RoutingConfig(int64_t version,
                             std::vector<Route> routes,
                             std::vector<RoutedService> services,
                             std::vector<Organisation> organisations,
                             CallerLimits limits)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      organisations_(std::move(organisations)),
      limits_(limits) {
  for (size_t i = 0; i < routes_.size(); ++i) {
    by_host_[NormalizeHost(routes_[i].host)].push_back(i);
  }
  for (auto& [host, indexes] : by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(), [&](size_t a, size_t b) {
      return routes_[a].path_prefix.size() > routes_[b].path_prefix.size();
    });
  }
  for (size_t i = 0; i < services_.size(); ++i) {
    by_service_[services_[i].name] = i;
  }
  for (size_t i = 0; i < organisations_.size(); ++i) {
    for (const std::string& it : organisations_[i].keys) {
      by_key_[it] = i;
    }
  }
}

const Route* RoutingConfig::FindRoute(std::string_view host,
                                      std::string_view path) const {
  const auto it = by_host_.find(NormalizeHost(host));
  if (it == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path_without_query = path.substr(0, path.find('?'));
  for (const size_t i : it->second) {
    if (path_without_query.substr(0, routes_[i].path_prefix.size()) ==
        routes_[i].path_prefix) {
      return &routes_[i];
    }
  }
  return nullptr;
}

const RoutedService* RoutingConfig::FindService(const std::string& name) const {
  const auto it = by_service_.find(name);
  return it == by_service_.end() ? nullptr : &services_[it->second];
}

const Organisation* RoutingConfig::FindOrganisationByKey(
    const std::string& key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : &organisations_[it->second];
}

}  // namespace tamaracktrail
