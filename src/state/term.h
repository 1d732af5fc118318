#ifndef STATE_TERM_H_
#define STATE_TERM_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Makes an incarnation the placer of its data centre: the only instance whose
//! placement orders are accepted. The offset of the record is the fencing
//! number of the term.
struct Term {
  std::string data_centre;
  uint64_t holder = 0;  //!< Incarnation of the placer.

  friend bool operator==(const Term&, const Term&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(data_centre, holder);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_TERM_H_
