#ifndef COORDINATION_PROMPT_SHAPE_H_
#define COORDINATION_PROMPT_SHAPE_H_

#include <cstdint>
#include <vector>

#include "coordination/prompt_part.h"

namespace tamaracktrail {

//! Size of a generation request and the parts of its prompt.
struct PromptShape {
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  std::vector<PromptPart> parts;  //!< In order; only the last is not shared.

  //! Upper bound of the tokens that the request can cost.
  int64_t max_tokens() const { return prompt_tokens + max_output_tokens; }

  friend bool operator==(const PromptShape&, const PromptShape&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_PROMPT_SHAPE_H_
