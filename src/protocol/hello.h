#ifndef PROTOCOL_HELLO_H_
#define PROTOCOL_HELLO_H_

#include <string>

#include <cereal/types/string.hpp>

#include "state/instance_id.h"

namespace tamaracktrail {

//! First message on a peer connection, in both directions.
struct Hello {
  InstanceId from;
  std::string data_centre;

  friend bool operator==(const Hello&, const Hello&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from, data_centre);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_HELLO_H_
