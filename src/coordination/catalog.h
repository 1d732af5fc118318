#ifndef COORDINATION_CATALOG_H_
#define COORDINATION_CATALOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coordination/endpoint_spec.h"
#include "coordination/organisation_spec.h"
#include "coordination/placement_spec.h"
#include "coordination/service_spec.h"
#include "protocol/setting_fault.h"
#include "state/config_file.h"

namespace tamaracktrail {

//! The declarations of one configuration, checked as a whole. Immutable once
//! parsed, and then thread-safe.
struct Catalog {
  uint64_t version = 0;
  std::map<std::string, OrganisationSpec> organisations;
  std::map<std::string, ServiceSpec> services;
  std::map<std::string, EndpointSpec> endpoints;
  std::map<std::string, PlacementSpec> placements;

  //! The service that offers a model, if any.
  const ServiceSpec* ServiceOfModel(const std::string& model) const;

  //! The organisation that a bearer token "ORGANISATION.SECRET" names, if its
  //! key is right.
  const OrganisationSpec* Authenticate(const std::string& token) const;

  friend bool operator==(const Catalog&, const Catalog&) = default;
};

//! Parses and checks a set of declaration files. Adds to `faults` whatever is
//! wrong; the result counts only where it added none. Thread-safe.
Catalog ParseCatalog(uint64_t version,
                     const std::vector<ConfigFile>& files,
                     std::vector<SettingFault>* faults);

}  // namespace tamaracktrail

#endif  // COORDINATION_CATALOG_H_
