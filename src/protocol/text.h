#ifndef PROTOCOL_TEXT_H_
#define PROTOCOL_TEXT_H_

#include <string_view>

#include "absl/strings/match.h"
#include "absl/strings/string_view.h"

namespace tamaracktrail {

//! The packaged Abseil has a string view type of its own, which does not
//! convert from the standard one. Thread-safe.
inline absl::string_view AsAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

inline std::string_view AsStd(absl::string_view text) {
  return {text.data(), text.size()};
}

//! Whether two ASCII texts are equal but for case. Thread-safe.
inline bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(AsAbsl(a), AsAbsl(b));
}

}  // namespace tamaracktrail

#endif  // PROTOCOL_TEXT_H_
