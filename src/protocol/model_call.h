#ifndef PROTOCOL_MODEL_CALL_H_
#define PROTOCOL_MODEL_CALL_H_

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace tamaracktrail {

//! The parts of a caller's model request that routing needs. Immutable.
struct ModelCall {
  std::string model;
  std::string body;    //!< Body for the endpoint; its "stream" is always true.
  std::string prefix;  //!< Prefix of the prompt, for cache affinity.
  //! Whether the path is /v1/chat/completions; otherwise it is /v1/completions.
  bool chat = true;
  bool stream = false;            //!< Whether the caller asked for a stream.
  int64_t max_prompt_tokens = 0;  //!< Upper bound of the prompt tokens.
  int64_t max_tokens = 0;
};

//! Parses the body of a completion request. A missing max_tokens becomes
//! `default_max_tokens`. Errors: kInvalidArgument with the reason. Thread-safe.
absl::StatusOr<ModelCall> ParseModelCall(const std::string& body,
                                         bool chat,
                                         int64_t default_max_tokens);

//! Text that a streamed chunk adds to the answer; empty if it has none.
std::string ChunkText(const std::string& chunk, bool chat);

//! Body of a complete answer for a caller that did not ask for a stream.
std::string MakeCompleteAnswer(const std::string& id,
                               const std::string& model,
                               const std::string& text,
                               int64_t prompt_tokens,
                               int64_t completion_tokens,
                               bool chat);

}  // namespace tamaracktrail

#endif  // PROTOCOL_MODEL_CALL_H_
