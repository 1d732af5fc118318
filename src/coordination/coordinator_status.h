#ifndef COORDINATION_COORDINATOR_STATUS_H_
#define COORDINATION_COORDINATOR_STATUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tamaracktrail {

//! Snapshot of an instance's state and its view of its peers, for status
//! answers and metrics.
struct CoordinatorStatus {
  struct PeerStatus {
    std::string address;
    uint64_t incarnation = 0;
    std::string state;  //!< "live", "suspected" or "unknown".
    uint64_t config_version = 0;
  };
  struct ShardStatus {
    uint32_t number = 0;
    bool keeper = false;
    bool caught_up = false;
    uint64_t next_offset = 0;
    size_t backlog = 0;       //!< Records that are not confirmed yet.
    size_t reservations = 0;  //!< Open reservations.
    int64_t reserved_tokens = 0;
    int64_t share_tokens = 0;
    uint64_t dropped_batches = 0;
  };

  std::string address;
  std::string data_centre;
  uint64_t incarnation = 0;
  uint64_t config_version = 0;
  bool joined = false;
  bool draining = false;
  size_t charges_in_custody = 0;
  size_t open_sweeps = 0;
  int64_t stuck_tokens = 0;  //!< Held in shares of exited incarnations.
  size_t backlog = 0;        //!< Records that are not confirmed yet.
  //! Largest number of consecutive failed appends on one stream.
  int append_failures = 0;
  uint64_t fencing_number = 0;  //!< 0 if this instance is not the placer.
  std::vector<PeerStatus> peers;
  std::vector<ShardStatus> shards;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_COORDINATOR_STATUS_H_
