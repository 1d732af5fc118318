#include "coordination/organisation_spec.h"

#include <algorithm>

#include "state/digest.h"

namespace tamaracktrail {

bool OrganisationSpec::HasKey(const std::string& secret) const {
  return std::any_of(key_hashes.begin(), key_hashes.end(),
                     [&](const std::string& it) {
                       const std::string salt = it.substr(0, it.find(':'));
                       return DigestsEqual(it, HashKey(salt, secret));
                     });
}

std::string HashKey(const std::string& salt, const std::string& secret) {
  return salt + ":" + Hex(Sha256(salt + secret));
}

}  // namespace tamaracktrail
