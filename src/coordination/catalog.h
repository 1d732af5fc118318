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

//! The declarations of one configuration, validated together. Immutable and
//! therefore thread-safe once parsed.
struct Catalog {
  uint64_t version = 0;
  std::map<std::string, OrganisationSpec> organisations;
  std::map<std::string, ServiceSpec> services;
  std::map<std::string, EndpointSpec> endpoints;
  std::map<std::string, PlacementSpec> placements;

  //! Returns the service that offers a model, or null.
  const ServiceSpec* ServiceOfModel(const std::string& model) const;

  //! Returns the organisation that a bearer token "ORGANISATION.SECRET" names,
  //! or null if it is not declared or the secret is none of its keys.
  const OrganisationSpec* Authenticate(const std::string& token) const;

  friend bool operator==(const Catalog&, const Catalog&) = default;
};

//! Parses and validates a set of declaration files. Appends each error to
//! `faults`; the result is valid only if none was appended. Thread-safe.
Catalog ParseCatalog(uint64_t version,
                     const std::vector<ConfigFile>& files,
                     std::vector<SettingFault>* faults);

}  // namespace tamaracktrail

#endif  // COORDINATION_CATALOG_H_
