#ifndef TRANSPORT_RELAY_ANSWER_HEAD_H_
#define TRANSPORT_RELAY_ANSWER_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "protocol/http_fields.h"

namespace tamaracktrail {

//! Head of an answer to a caller, without the fields that frame the body:
//! CallerConnection adds them when it writes the head.
struct AnswerHead {
  int status = 200;
  std::string reason;
  HttpFields fields;
  std::optional<uint64_t> length;  //!< Of the body; unset for chunked coding.
  bool close_connection = false;   //!< Close after this answer.
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_ANSWER_HEAD_H_
