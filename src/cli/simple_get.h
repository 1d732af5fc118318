#ifndef CLI_SIMPLE_GET_H_
#define CLI_SIMPLE_GET_H_

#include <string>

#include "absl/status/statusor.h"

namespace tamaracktrail {

//! Sends a GET request and blocks until the answer arrives; returns its body.
//! Errors: those of HttpClient; kUnavailable for an HTTP status other than 200.
absl::StatusOr<std::string> SimpleGet(const std::string& url);

}  // namespace tamaracktrail

#endif  // CLI_SIMPLE_GET_H_
