#include "state/budget_claim.h"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

#include "state/bounded_input_archive.h"

namespace tamaracktrail {

namespace {

//! Separates instance and organisation; neither name may contain it.
constexpr char kSeparator = '/';

//! Ends the name of a substitute; no instance's name may end so.
constexpr char kSubstituteSuffix = '~';

}  // namespace

std::string SubstituteName(const std::string& instance) {
  return instance + kSubstituteSuffix;
}

bool IsSubstituteName(const std::string& name) {
  return !name.empty() && name.back() == kSubstituteSuffix;
}

std::string NameOfInstance(const std::string& name) {
  return IsSubstituteName(name) ? name.substr(0, name.size() - 1) : name;
}

std::string BudgetClaimKey(const BudgetClaim& claim) {
  return claim.instance + kSeparator + claim.organisation;
}

std::string EncodeBudgetClaim(const BudgetClaim& claim) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(claim.incarnation, claim.number, claim.claimed, claim.locked,
          claim.spent, claim.stranded, claim.generation);
  return out.str();
}

std::optional<BudgetClaim> DecodeBudgetClaim(const std::string& key,
                                             const std::string& value) {
  const size_t slash = key.find(kSeparator);
  if (slash == std::string::npos || slash + 1 == key.size()) {
    return std::nullopt;
  }
  BudgetClaim claim;
  claim.instance = key.substr(0, slash);
  claim.organisation = key.substr(slash + 1);
  try {
    BoundedInputArchive archive(value);
    archive(claim.incarnation, claim.number, claim.claimed, claim.locked,
            claim.spent, claim.stranded);
    // Earlier versions wrote no generation.
    if (!archive.at_end()) {
      archive(claim.generation);
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return claim;
}

}  // namespace tamaracktrail
