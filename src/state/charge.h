#ifndef STATE_CHARGE_H_
#define STATE_CHARGE_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Bills one delivered answer. Only the first charge of a request key counts;
//! a later one is void, unless the first one is voided.
struct Charge {
  std::string organisation;
  //! The request key.
  std::string key;
  //! Holder of the share that is charged.
  uint64_t holder = 0;
  //! Incarnation of the instance that served the caller.
  uint64_t entry = 0;
  //! Attempt whose answer was delivered.
  uint64_t attempt = 0;
  std::string service;
  std::string endpoint;
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
  //! Tokens billed.
  int64_t tokens = 0;
  uint64_t config_version = 0;

  friend bool operator==(const Charge&, const Charge&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, key, holder, entry, attempt, service, endpoint,
            prompt_tokens, completion_tokens, tokens, config_version);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_CHARGE_H_
