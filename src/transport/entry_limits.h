#ifndef TRANSPORT_ENTRY_LIMITS_H_
#define TRANSPORT_ENTRY_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "state/millis.h"

namespace tamaracktrail {

//! Limits that an entry applies to its callers' requests. Immutable.
struct EntryLimits {
  size_t max_body_bytes = 1024 * 1024;
  size_t max_header_bytes = 32 * 1024;
  int64_t max_tokens = 16384;
  size_t max_streams = 512;   //!< Open requests of all kinds, queued ones too.
  size_t queue_length = 256;  //!< Maximum number of queued requests.
  size_t queue_per_organisation = 128;  //!< Maximum for one organisation.
  //! Unsent bytes of one stream above which reading from its endpoint pauses.
  size_t stream_buffer_bytes = 256 * 1024;
  //! Longest time in which no pending byte is written to the caller.
  Millis slow_reader_timeout{15000};
  Millis reserve_timeout{4500};  //!< Longest wait for a reservation's reply.
  Millis idle_timeout{30000};    //!< Longest gap between events.
  double retry_ratio = 0.1;      //!< Retries added by each request.
  double retry_burst = 20;       //!< Limit of accumulated retries.

  friend bool operator==(const EntryLimits&, const EntryLimits&) = default;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_ENTRY_LIMITS_H_
