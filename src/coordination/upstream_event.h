#ifndef COORDINATION_UPSTREAM_EVENT_H_
#define COORDINATION_UPSTREAM_EVENT_H_

#include <cstdint>
#include <string>

#include "state/millis.h"

namespace tamaracktrail {

//! An event of one try of a call at an endpoint.
struct UpstreamEvent {
  enum class Kind {
    kConnectFailed,   //!< No byte of the call was sent.
    kRefused,         //!< The endpoint states that it did not run the call.
    kChunk,           //!< The next chunk of a streamed answer.
    kEnd,             //!< The answer is complete.
    kConnectionLost,  //!< The connection ended after bytes were sent.
    kError,           //!< The endpoint answered with an error.
  };

  Kind kind = Kind::kConnectionLost;
  //! Index of a chunk, from 0; for kEnd the number of chunks.
  uint64_t sequence = 0;
  std::string data;  //!< The chunk, or the body of a plain answer.
  int status = 0;    //!< HTTP status.
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
  //! For kRefused: time for which the endpoint wants no call; 0 for none.
  Millis retry_after;
  bool last_chunk = false;  //!< The chunk carries the final event's data.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_UPSTREAM_EVENT_H_
