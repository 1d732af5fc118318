#ifndef TRANSPORT_RELAY_ANSWER_HEAD_H_
#define TRANSPORT_RELAY_ANSWER_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "protocol/http_fields.h"

namespace tamaracktrail {

//! Head of an answer to a caller; framing fields are added when it is sent.
struct AnswerHead {
  int status = 200;
  std::string reason;
  HttpFields fields;
  std::optional<uint64_t> length;  //!< Of the body; none: sent in chunks.
  bool last = false;  //!< The caller is to connect anew for its next request.
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_ANSWER_HEAD_H_
