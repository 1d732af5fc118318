#include "coordination/catalog.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "protocol/ini_reader.h"

namespace tamaracktrail {

namespace {

//! Upper limits of settings. kMaxCapacity also limits the number of copies,
//! kMaxTokens also the cost of a call.
constexpr int64_t kMaxCapacity = 100000;
constexpr int64_t kMaxTokens = 1000000;
constexpr int64_t kMaxDeadlineMs = 600000;
constexpr int kLowestPriority = 9;
constexpr int kDefaultPriority = 5;

//! Collects the declarations of all files, then validates the references
//! between them.
class CatalogParser {
 public:
  CatalogParser(uint64_t version, std::vector<SettingFault>* faults)
      : faults_(faults) {
    catalog_.version = version;
  }

  void ReadFile(const ConfigFile& file) {
    current_file_ = file.path;
    IniReader reader(file.path, file.text, faults_);
    for (const std::string& section : reader.Sections()) {
      const size_t space = section.find(' ');
      const std::string kind = section.substr(0, space);
      const std::string name =
          space == std::string::npos ? "" : section.substr(space + 1);
      if (name.empty()) {
        reader.AddFault(section, "", section, "a kind, a space and a name");
        continue;
      }
      ReadSection(reader, section, kind, name);
    }
    reader.RejectUnknownKeys();
  }

  Catalog Finish() {
    for (auto& [name, budget] : budgets_) {
      LinkBudget(budget);
    }
    for (const auto& [name, organisation] : catalog_.organisations) {
      if (organisation.budget.empty()) {
        AddFault("organisation", name, "", name,
                 "an organisation with a budget");
      }
    }
    for (const auto& [name, endpoint] : catalog_.endpoints) {
      CheckService("endpoint", name, endpoint.service);
    }
    for (const auto& [name, placement] : catalog_.placements) {
      CheckService("placement", name, placement.service);
      if (placement.max_copies < placement.min_copies) {
        AddFault("placement", name, "max_copies",
                 absl::StrCat(placement.max_copies), "min_copies or more");
      }
    }
    CheckModels();
    return std::move(catalog_);
  }

 private:
  struct BudgetDeclaration {
    std::string name;
    std::string organisation;
  };

  void ReadSection(IniReader& reader,
                   const std::string& section,
                   const std::string& kind,
                   const std::string& name) {
    const auto previous = section_files_.find(section);
    if (previous != section_files_.end()) {
      reader.AddFault(
          section, "", section,
          absl::StrCat("one declaration; ", previous->second, " has another"));
    }
    section_files_.try_emplace(section, current_file_);
    if (kind == "organisation") {
      ReadOrganisation(reader, section, name);
    } else if (kind == "budget") {
      ReadBudget(reader, section, name);
    } else if (kind == "service") {
      ReadService(reader, section, name);
    } else if (kind == "endpoint") {
      ReadEndpoint(reader, section, name);
    } else if (kind == "placement") {
      ReadPlacement(reader, section, name);
    } else {
      reader.AddFault(section, "", kind,
                      "organisation, budget, service, endpoint or placement");
    }
  }

  void ReadOrganisation(IniReader& reader,
                        const std::string& section,
                        const std::string& name) {
    OrganisationSpec spec;
    spec.name = name;
    spec.key_hashes = reader.List(section, "key_hashes");
    spec.priority = static_cast<int>(reader.Integer(
        section, "priority", kDefaultPriority, 0, kLowestPriority));
    for (const std::string& it : spec.key_hashes) {
      constexpr size_t kSha256HexChars = 64;
      const size_t colon = it.find(':');
      if (colon == 0 || colon == std::string::npos ||
          it.size() - colon - 1 != kSha256HexChars) {
        reader.AddFault(section, "key_hashes", it,
                        "SALT:HEX as printed by hash-key");
      }
    }
    if (spec.key_hashes.empty()) {
      reader.AddFault(section, "key_hashes", "", "one hash or more");
    }
    if (name.find('.') != std::string::npos) {
      reader.AddFault(section, "", name, "a name without a dot");
    }
    catalog_.organisations[name] = spec;
  }

  void ReadBudget(IniReader& reader,
                  const std::string& section,
                  const std::string& name) {
    const std::string organisation =
        reader.String(section, "organisation", true).value_or("");
    budgets_[name] = {name, organisation};
  }

  void ReadService(IniReader& reader,
                   const std::string& section,
                   const std::string& name) {
    ServiceSpec spec;
    spec.name = name;
    spec.kind = reader.Choice(section, "kind", {"model", "plain"}) == "model"
                    ? ServiceSpec::Kind::kModel
                    : ServiceSpec::Kind::kPlain;
    spec.owner = reader.String(section, "owner", true).value_or("");
    spec.model = reader.String(section, "model").value_or(name);
    spec.resumable = reader.Boolean(section, "resumable", false);
    spec.priority = static_cast<int>(reader.Integer(
        section, "priority", kDefaultPriority, 0, kLowestPriority));
    spec.cost = reader.Integer(section, "cost", 1, 1, kMaxTokens);
    spec.max_tokens =
        reader.Integer(section, "max_tokens", spec.max_tokens, 1, kMaxTokens);
    spec.deadline = Millis(reader.Integer(
        section, "deadline_ms", spec.deadline.count(), 1, kMaxDeadlineMs));
    spec.non_repeatable = reader.List(section, "non_repeatable");
    for (const std::string& it : spec.non_repeatable) {
      if (it.find(" /") == std::string::npos) {
        reader.AddFault(section, "non_repeatable", it, "METHOD /path-prefix");
      }
    }
    if (spec.kind == ServiceSpec::Kind::kModel &&
        !spec.non_repeatable.empty()) {
      reader.AddFault(section, "non_repeatable", spec.non_repeatable.front(),
                      "no entry for kind = model");
    }
    catalog_.services[name] = spec;
  }

  void ReadEndpoint(IniReader& reader,
                    const std::string& section,
                    const std::string& name) {
    EndpointSpec spec;
    spec.name = name;
    spec.address = reader.String(section, "address", true).value_or("");
    spec.service = reader.String(section, "service", true).value_or("");
    spec.data_centre = reader.String(section, "data_centre", true).value_or("");
    spec.capacity = static_cast<int>(
        reader.Integer(section, "capacity", 1, 1, kMaxCapacity));
    spec.checks_fencing = reader.Boolean(section, "checks_fencing", false);
    if (!spec.address.empty() && !IsAddress(spec.address)) {
      reader.AddFault(section, "address", spec.address, "IP:port");
    }
    catalog_.endpoints[name] = spec;
  }

  void ReadPlacement(IniReader& reader,
                     const std::string& section,
                     const std::string& name) {
    PlacementSpec spec;
    spec.name = name;
    spec.service = reader.String(section, "service", true).value_or("");
    spec.data_centre = reader.String(section, "data_centre", true).value_or("");
    spec.target = reader.String(section, "target", true).value_or("");
    spec.min_copies = static_cast<int>(
        reader.Integer(section, "min_copies", 1, 0, kMaxCapacity));
    spec.max_copies = static_cast<int>(reader.Integer(
        section, "max_copies", std::max(1, spec.min_copies), 1, kMaxCapacity));
    catalog_.placements[name] = spec;
  }

  void LinkBudget(const BudgetDeclaration& budget) {
    auto it = catalog_.organisations.find(budget.organisation);
    if (it == catalog_.organisations.end()) {
      AddFault("budget", budget.name, "organisation", budget.organisation,
               "a declared organisation");
      return;
    }
    if (!it->second.budget.empty()) {
      AddFault("budget", budget.name, "organisation", budget.organisation,
               absl::StrCat("an organisation without a budget; it has ",
                            it->second.budget));
      return;
    }
    it->second.budget = budget.name;
  }

  void CheckService(const std::string& kind,
                    const std::string& name,
                    const std::string& service) {
    if (!service.empty() && !catalog_.services.contains(service)) {
      AddFault(kind, name, "service", service, "a declared service");
    }
  }

  void CheckModels() {
    std::map<std::string, std::string> models;
    for (const auto& [name, service] : catalog_.services) {
      if (service.kind != ServiceSpec::Kind::kModel) {
        continue;
      }
      const auto [it, inserted] = models.try_emplace(service.model, name);
      if (!inserted) {
        AddFault(
            "service", name, "model", service.model,
            absl::StrCat("a model of one service; ", it->second, " offers it"));
      }
    }
  }

  void AddFault(const std::string& kind,
                const std::string& name,
                const std::string& key,
                const std::string& read,
                const std::string& allowed) {
    const std::string section = absl::StrCat(kind, " ", name);
    faults_->push_back({"declarations", section, key, read, allowed});
  }

  Catalog catalog_;
  std::vector<SettingFault>* faults_;
  std::string current_file_;  //!< Path of the file being read.
  std::map<std::string, BudgetDeclaration> budgets_;
  std::map<std::string, std::string> section_files_;  //!< Path by section.
};

}  // namespace

const ServiceSpec* Catalog::ServiceOfModel(const std::string& model) const {
  for (const auto& [name, service] : services) {
    if (service.kind == ServiceSpec::Kind::kModel && service.model == model) {
      return &service;
    }
  }
  return nullptr;
}

const OrganisationSpec* Catalog::Authenticate(const std::string& token) const {
  const size_t dot = token.find('.');
  if (dot == std::string::npos) {
    return nullptr;
  }
  auto it = organisations.find(token.substr(0, dot));
  if (it == organisations.end() || !it->second.HasKey(token.substr(dot + 1))) {
    return nullptr;
  }
  return &it->second;
}

Catalog ParseCatalog(uint64_t version,
                     const std::vector<ConfigFile>& files,
                     std::vector<SettingFault>* faults) {
  CatalogParser parser(version, faults);
  for (const ConfigFile& it : files) {
    parser.ReadFile(it);
  }
  return parser.Finish();
}

}  // namespace tamaracktrail
