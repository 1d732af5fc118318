#ifndef STATE_EXIT_H_
#define STATE_EXIT_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! States that an incarnation has exited, with the evidence for it.
struct Exit {
  uint64_t incarnation = 0;
  std::string evidence;  //!< Text for the audit; not parsed.

  friend bool operator==(const Exit&, const Exit&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, evidence);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_EXIT_H_
