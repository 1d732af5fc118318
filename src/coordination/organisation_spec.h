#ifndef COORDINATION_ORGANISATION_SPEC_H_
#define COORDINATION_ORGANISATION_SPEC_H_

#include <string>
#include <vector>

namespace tamaracktrail {

//! An organisation as the configuration declares it.
struct OrganisationSpec {
  std::string name;
  std::vector<std::string> key_hashes;  //!< "salt:hex of SHA-256(salt + key)".
  int priority = 5;                     //!< 0 is the highest, 9 the lowest.
  std::string budget;                   //!< Name of its budget.

  //! Whether `secret` is one of the organisation's keys. Thread-safe.
  bool HasKey(const std::string& secret) const;

  friend bool operator==(const OrganisationSpec&,
                         const OrganisationSpec&) = default;
};

//! Returns the salted hash of a key in the format of `key_hashes`. Thread-safe.
std::string HashKey(const std::string& salt, const std::string& secret);

}  // namespace tamaracktrail

#endif  // COORDINATION_ORGANISATION_SPEC_H_
