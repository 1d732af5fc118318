#ifndef PROTOCOL_TEXT_H_
#define PROTOCOL_TEXT_H_

#include <string_view>

#include "absl/strings/match.h"
#include "absl/strings/string_view.h"

namespace tamaracktrail {

//! Converts to Abseil's string view. The packaged Abseil has its own type,
//! which does not convert from the standard one. Thread-safe.
inline absl::string_view AsAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

//! Converts from Abseil's string view. Thread-safe.
inline std::string_view AsStd(absl::string_view text) {
  return {text.data(), text.size()};
}

//! Compares two ASCII strings case-insensitively. Thread-safe.
inline bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(AsAbsl(a), AsAbsl(b));
}

}  // namespace tamaracktrail

#endif  // PROTOCOL_TEXT_H_
