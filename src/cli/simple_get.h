#ifndef CLI_SIMPLE_GET_H_
#define CLI_SIMPLE_GET_H_

#include <string>

#include "absl/status/statusor.h"

namespace tamaracktrail {

//! Fetches a URL and waits for the answer. An HTTP status other than 200 is an
//! error.
absl::StatusOr<std::string> SimpleGet(const std::string& url);

}  // namespace tamaracktrail

#endif  // CLI_SIMPLE_GET_H_
