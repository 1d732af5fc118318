#include "protocol/retry_after.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "protocol/http_fields.h"
#include "protocol/text.h"

namespace tamaracktrail {

namespace {

constexpr char kField[] = "Retry-After";

constexpr double kMaxSeconds = 365 * 24 * 3600;

}  // namespace

absl::StatusOr<Millis> ParseRetryAfter(std::string_view text) {
  double seconds = 0;
  if (!absl::SimpleAtod(AsAbsl(text), &seconds) || !std::isfinite(seconds) ||
      seconds < 0) {
    return absl::InvalidArgumentError(absl::StrCat(
        "Retry-After is no finite number of 0 or more: ", AsAbsl(text)));
  }
  return Millis(
      static_cast<int64_t>(std::ceil(std::min(seconds, kMaxSeconds) * 1000)));
}

absl::StatusOr<std::optional<Millis>> FindRetryAfter(const HttpFields& fields) {
  const auto text = fields.Find(kField);
  if (!text) {
    return std::nullopt;
  }
  if (fields.Count(kField) != 1) {
    return absl::InvalidArgumentError("several Retry-After fields");
  }
  const auto wait = ParseRetryAfter(*text);
  if (!wait.ok()) {
    return wait.status();
  }
  return *wait;
}

}  // namespace tamaracktrail
