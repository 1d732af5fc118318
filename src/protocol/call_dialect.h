#ifndef PROTOCOL_CALL_DIALECT_H_
#define PROTOCOL_CALL_DIALECT_H_

#include <optional>
#include <string>
#include <vector>

#include "coordination/prompt_shape.h"

namespace tamaracktrail {

class HttpFields;

//! Names of the header fields that callers and endpoints use, and how a
//! generation request describes its prompt. Filled in where the surroundings
//! are known; the relay itself knows no names. Immutable.
struct CallDialect {
  std::string request_id;         //!< One attempt of a caller.
  std::string deadline;           //!< How long the sender waits, milliseconds.
  std::string expected_endpoint;  //!< Only this endpoint may run the request.
  std::string organisation;       //!< Whose key the caller holds.
  std::string priority;           //!< 0 to 9, 0 first.
  std::string signature;          //!< Only an endpoint's own answers bear it.
  std::string not_run;            //!< The endpoint did not run the request.
  std::string last_event_id;      //!< Resumes a stream behind this event.
  std::string fetch_prefix_from;  //!< Engine that holds the prompt's beginning.
  //! Fields of a caller that are not passed on, those above included where the
  //! relay sets them.
  std::vector<std::string> not_forwarded;
  //! The prompt as the request describes it; nullopt where it has none.
  std::optional<PromptShape> (*read_prompt)(const HttpFields& fields) = nullptr;
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_CALL_DIALECT_H_
