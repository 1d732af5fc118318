#ifndef STATE_RUN_H_
#define STATE_RUN_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! An attempt at an endpoint that ended without a charge.
struct Run {
  std::string organisation;
  std::string key;
  uint64_t attempt = 0;
  //! Incarnation of the instance that serves the caller.
  uint64_t entry = 0;
  std::string service;
  std::string endpoint;
  //! Numeric result code.
  int32_t code = 0;
  uint64_t config_version = 0;

  friend bool operator==(const Run&, const Run&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, key, attempt, entry, service, endpoint, code,
            config_version);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_RUN_H_
