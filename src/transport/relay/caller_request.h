#ifndef TRANSPORT_RELAY_CALLER_REQUEST_H_
#define TRANSPORT_RELAY_CALLER_REQUEST_H_

#include <memory>
#include <string>

#include "protocol/http_fields.h"
#include "state/millis.h"

namespace tamaracktrail {

//! A complete request from a caller. Immutable after it has been read.
struct CallerRequest {
  std::string method;
  std::string target;
  HttpFields fields;
  std::shared_ptr<const std::string> body;
  Millis first_byte_at;  //!< When its first byte was read.
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_CALLER_REQUEST_H_
