#ifndef PROTOCOL_CONFIG_REPLY_H_
#define PROTOCOL_CONFIG_REPLY_H_

#include <cstdint>

#include "state/configuration.h"

namespace tamaracktrail {

struct ConfigReply {
  uint64_t version = 0;
  Configuration configuration;

  friend bool operator==(const ConfigReply&, const ConfigReply&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, configuration);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_CONFIG_REPLY_H_
