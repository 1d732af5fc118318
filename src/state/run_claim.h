#ifndef STATE_RUN_CLAIM_H_
#define STATE_RUN_CLAIM_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Claims the single run of a non-repeatable request. The first claim wins.
struct RunClaim {
  std::string organisation;
  std::string key;
  uint64_t attempt = 0;
  //! Incarnation of the instance that serves the caller.
  uint64_t entry = 0;
  std::string service;

  friend bool operator==(const RunClaim&, const RunClaim&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, key, attempt, entry, service);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_RUN_CLAIM_H_
