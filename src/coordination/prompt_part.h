#ifndef COORDINATION_PROMPT_PART_H_
#define COORDINATION_PROMPT_PART_H_

#include <cstdint>
#include <string>

namespace tamaracktrail {

//! One part of a prompt. Prompts with a common prefix have the same first
//! parts.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;

  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_PROMPT_PART_H_
