#ifndef STATE_ENDPOINT_ENTRY_H_
#define STATE_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <string>

#include "state/millis.h"

namespace tamaracktrail {

//! What an endpoint reports about itself in the platform's endpoint directory.
struct EndpointEntry {
  std::string id;
  std::string service;
  std::string address;  //!< "ip:port".
  std::string data_centre;
  int64_t start_unix_ms = 0;  //!< Start time of the incarnation, Unix ms.
  int64_t sequence = 0;       //!< Increases with each entry of an incarnation.
  int slots = 0;              //!< Requests that it runs concurrently.
  bool draining = false;
  //! Remaining time of the slow period after its start; 0 if it has ended.
  Millis cold_remaining;

  friend bool operator==(const EndpointEntry&, const EndpointEntry&) = default;
};

}  // namespace tamaracktrail

#endif  // STATE_ENDPOINT_ENTRY_H_
