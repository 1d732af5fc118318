#ifndef STATE_JOIN_H_
#define STATE_JOIN_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! States that an incarnation starts serving.
struct Join {
  uint64_t incarnation = 0;
  std::string address;
  std::string data_centre;

  friend bool operator==(const Join&, const Join&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, address, data_centre);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_JOIN_H_
