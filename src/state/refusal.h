#ifndef STATE_REFUSAL_H_
#define STATE_REFUSAL_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! A request that was refused.
struct Refusal {
  std::string organisation;
  std::string key;
  //! Incarnation of the instance that serves the caller.
  uint64_t entry = 0;
  std::string service;
  //! Numeric result code.
  int32_t code = 0;
  std::string reason;
  uint64_t config_version = 0;

  friend bool operator==(const Refusal&, const Refusal&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, key, entry, service, code, reason, config_version);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_REFUSAL_H_
