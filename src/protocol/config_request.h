#ifndef PROTOCOL_CONFIG_REQUEST_H_
#define PROTOCOL_CONFIG_REQUEST_H_

#include <cstdint>

namespace tamaracktrail {

//! Asks for a configuration newer than a version.
struct ConfigRequest {
  uint64_t newer_than = 0;

  friend bool operator==(const ConfigRequest&, const ConfigRequest&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(newer_than);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_CONFIG_REQUEST_H_
