#ifndef PROTOCOL_CALL_DIALECT_H_
#define PROTOCOL_CALL_DIALECT_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "coordination/prompt_shape.h"

namespace tamaracktrail {

class HttpFields;

//! Names of the header fields that callers and endpoints use, and the function
//! that parses the prompt description of a generation request. The platform
//! fills it in; the relay itself contains no platform-specific names. Immutable
//! after that.
struct CallDialect {
  std::string request_id;         //!< Identifies one attempt of a caller.
  std::string deadline;           //!< Time that the sender waits, in ms.
  std::string expected_endpoint;  //!< Only this endpoint may run the request.
  std::string organisation;       //!< Owner of the caller's API key.
  std::string priority;           //!< 0 to 9; 0 is the highest.
  std::string signature;  //!< Present in an endpoint's own answers only.
  std::string not_run;    //!< Present if the endpoint did not run the request.
  std::string last_event_id;      //!< Resumes a stream after this event.
  std::string fetch_prefix_from;  //!< Engine that has the prefix cached.
  //! Caller fields that are not forwarded. They include the fields above that
  //! the relay sets itself.
  std::vector<std::string> not_forwarded;
  //! Parses the limit that an endpoint names in an answer: requests a second
  //! that it takes from all instances together; nullopt if it names none.
  //! Error: the field has no usable value.
  absl::StatusOr<std::optional<double>> (*parse_limit)(
      const HttpFields& fields) = nullptr;
  //! Parses whether the endpoint announces in an answer that it leaves. Error:
  //! the field has no usable value.
  absl::StatusOr<bool> (*parse_leaving)(const HttpFields& fields) = nullptr;
  //! Parses the prompt description of a request; nullopt if it has none. Error:
  //! it states no usable number of tokens.
  absl::StatusOr<std::optional<PromptShape>> (*parse_prompt)(
      const HttpFields& fields) = nullptr;
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_CALL_DIALECT_H_
