#ifndef TRANSPORT_RELAY_ANSWER_HEAD_H_
#define TRANSPORT_RELAY_ANSWER_HEAD_H_

#include <cstdint>
#include <string>

#include "protocol/body_framing.h"
#include "protocol/http_fields.h"

namespace tamaracktrail {

//! Head of an answer to a caller, without the fields that frame the body:
//! CallerConnection adds them when it writes the head.
struct AnswerHead {
  int status = 200;
  std::string reason;
  HttpFields fields;
  //! How the caller recognises the end of the body. HTTP/1.0 callers get no
  //! chunks, whatever this says.
  BodyFraming framing = BodyFraming::kChunks;
  uint64_t length = 0;            //!< Of the body, if it is framed by length.
  bool close_connection = false;  //!< Close after this answer.
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_ANSWER_HEAD_H_
