#ifndef STATE_ENDPOINT_ENTRY_H_
#define STATE_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <string>

#include "state/millis.h"

namespace tamaracktrail {

//! What an endpoint says of itself in the directory.
struct EndpointEntry {
  std::string id;
  std::string service;
  std::string address;  //!< "ip:port".
  std::string data_centre;
  int64_t born = 0;      //!< Start of this incarnation, Unix milliseconds.
  int64_t sequence = 0;  //!< Grows with each entry of one incarnation.
  int slots = 0;         //!< Requests it runs at once.
  bool draining = false;
  Millis cold_remaining;  //!< How long it stays slow after its start.

  friend bool operator==(const EndpointEntry&, const EndpointEntry&) = default;
};

}  // namespace tamaracktrail

#endif  // STATE_ENDPOINT_ENTRY_H_
