#ifndef STATE_INSTANCE_ID_H_
#define STATE_INSTANCE_ID_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Identifies one process by the address it binds and the random incarnation
//! that it chose at its start. An incarnation is never reused.
struct InstanceId {
  //! "IP:port" of the UDP and TCP peer listener.
  std::string address;
  uint64_t incarnation = 0;

  friend bool operator==(const InstanceId&, const InstanceId&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, incarnation);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_INSTANCE_ID_H_
