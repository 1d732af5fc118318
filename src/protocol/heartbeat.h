#ifndef PROTOCOL_HEARTBEAT_H_
#define PROTOCOL_HEARTBEAT_H_

#include <cstdint>
#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "protocol/probe_report.h"
#include "state/instance_id.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Periodic datagram between the instances of a data centre.
struct Heartbeat {
  InstanceId from;
  std::string data_centre;
  uint64_t sequence = 0;
  uint64_t config_version = 0;
  bool draining = false;
  //! Send time by the sender's monotonic clock; the receiver echoes it.
  Millis sent_at;
  //! `sent_at` of the last heartbeat that the sender got from the receiver.
  Millis echoed_sent_at;
  //! Incarnation that sent the echoed heartbeat; 0 if none was received.
  uint64_t echoed_incarnation = 0;
  std::vector<ProbeReport> probe_reports;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from, data_centre, sequence, config_version, draining, sent_at,
            echoed_sent_at, echoed_incarnation, probe_reports);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_HEARTBEAT_H_
