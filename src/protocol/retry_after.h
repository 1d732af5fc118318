#ifndef PROTOCOL_RETRY_AFTER_H_
#define PROTOCOL_RETRY_AFTER_H_

#include <optional>
#include <string_view>

#include "absl/status/statusor.h"
#include "state/millis.h"

namespace tamaracktrail {

class HttpFields;

//! Parses the value of a Retry-After field: seconds, which may have a fraction.
//! Times above a year are cut to it. Errors: a date, a negative number or
//! anything else that is no number of seconds. Thread-safe.
absl::StatusOr<Millis> ParseRetryAfter(std::string_view text);

//! The same for the fields of a message; nullopt without the field. Errors also
//! if there are several of these fields. Thread-safe.
absl::StatusOr<std::optional<Millis>> FindRetryAfter(const HttpFields& fields);

}  // namespace tamaracktrail

#endif  // PROTOCOL_RETRY_AFTER_H_
