#ifndef STATE_ORGANISATION_H_
#define STATE_ORGANISATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamaracktrail {

//! One organisation of a configuration.
struct Organisation {
  std::string name;
  //! API keys that its callers send as "Authorization: Bearer KEY".
  std::vector<std::string> keys;
  int priority = 0;                //!< 0 is the highest.
  std::optional<int64_t> prepaid;  //!< Tokens; nullopt if not limited.
  //! Regions whose endpoints may get its requests; empty: all.
  std::vector<std::string> allowed_regions;

  friend bool operator==(const Organisation&, const Organisation&) = default;
};

}  // namespace tamaracktrail

#endif  // STATE_ORGANISATION_H_
