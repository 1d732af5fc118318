#ifndef PROTOCOL_MODEL_CALL_H_
#define PROTOCOL_MODEL_CALL_H_

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace tamaracktrail {

//! A caller's request to a model, as far as routing needs it. Immutable.
struct ModelCall {
  std::string model;
  std::string body;          //!< For the endpoint: always streamed.
  std::string prefix;        //!< Start of the prompt, for cache affinity.
  bool chat = true;          //!< /v1/chat/completions, else /v1/completions.
  bool stream = false;       //!< Whether the caller wants a stream.
  int64_t prompt_bound = 0;  //!< No prompt of this body has more tokens.
  int64_t max_tokens = 0;
};

//! Parses the body of a completion request. A missing max_tokens becomes
//! `default_max_tokens`. kInvalidArgument says what is wrong. Thread-safe.
absl::StatusOr<ModelCall> ParseModelCall(const std::string& body,
                                         bool chat,
                                         int64_t default_max_tokens);

//! Text that one streamed chunk adds to the answer; empty for none.
std::string ChunkText(const std::string& chunk, bool chat);

//! A whole, not streamed answer.
std::string WholeAnswer(const std::string& id,
                        const std::string& model,
                        const std::string& text,
                        int64_t prompt_tokens,
                        int64_t completion_tokens,
                        bool chat);

}  // namespace tamaracktrail

#endif  // PROTOCOL_MODEL_CALL_H_
