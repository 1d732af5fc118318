#ifndef STATE_OUTCOME_H_
#define STATE_OUTCOME_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Result of a claimed run, once it is known.
struct Outcome {
  std::string organisation;
  std::string key;
  uint64_t attempt = 0;
  std::string endpoint;
  int32_t http_status = 0;
  //! Numeric result code.
  int32_t code = 0;

  friend bool operator==(const Outcome&, const Outcome&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, key, attempt, endpoint, http_status, code);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_OUTCOME_H_
