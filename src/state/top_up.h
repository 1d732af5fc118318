#ifndef STATE_TOP_UP_H_
#define STATE_TOP_UP_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Adds prepaid tokens to an organisation's budget. Idempotent: a second top-up
//! with the same id has no effect.
struct TopUp {
  std::string organisation;
  std::string id;
  int64_t tokens = 0;
  //! Who ordered the top-up, for the audit.
  std::string author;

  friend bool operator==(const TopUp&, const TopUp&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, id, tokens, author);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_TOP_UP_H_
