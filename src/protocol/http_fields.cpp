#include "protocol/http_fields.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"
#include "protocol/text.h"

namespace tamaracktrail {

void HttpFields::Add(std::string_view name, std::string_view value) {
  fields_.push_back({std::string(name), std::string(value)});
}

std::optional<std::string_view> HttpFields::Find(std::string_view name) const {
  for (const HttpField& it : fields_) {
    if (EqualsIgnoringCase(it.name, name)) {
      return it.value;
    }
  }
  return std::nullopt;
}

size_t HttpFields::Count(std::string_view name) const {
  return static_cast<size_t>(std::count_if(
      fields_.begin(), fields_.end(),
      [&](const HttpField& it) { return EqualsIgnoringCase(it.name, name); }));
}

std::set<std::string> ListMembers(std::string_view value) {
  std::set<std::string> members;
  for (const absl::string_view it : absl::StrSplit(AsAbsl(value), ',')) {
    members.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(it)));
  }
  return members;
}

bool IsHopByHopField(std::string_view name) {
  static constexpr std::array<std::string_view, 9> kNames = {
      "Connection", "Keep-Alive",          "Proxy-Connection",
      "TE",         "Proxy-Authorization", "Proxy-Authenticate",
      "Trailer",    "Transfer-Encoding",   "Upgrade"};
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view it) {
    return EqualsIgnoringCase(it, name);
  });
}

}  // namespace tamaracktrail
