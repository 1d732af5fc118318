#ifndef TRANSPORT_RELAY_CALLER_REQUEST_H_
#define TRANSPORT_RELAY_CALLER_REQUEST_H_

#include <memory>
#include <string>

#include "protocol/http_fields.h"
#include "state/millis.h"

namespace tamaracktrail {

//! A whole request of a caller. Immutable once it was read.
struct CallerRequest {
  std::string method;
  std::string target;
  HttpFields fields;
  std::shared_ptr<const std::string> body;
  Millis began;  //!< When its first byte was read.
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_CALLER_REQUEST_H_
