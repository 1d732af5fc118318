#include "protocol/setting_fault.h"

#include "absl/strings/str_cat.h"

namespace tamaracktrail {

std::string SettingFault::ToString() const {
  const std::string place =
      section.empty() ? file : absl::StrCat(file, ": [", section, "]");
  const std::string name = key.empty() ? "" : absl::StrCat(" ", key);
  return absl::StrCat(place, name, ": read \"", read, "\", allowed: ", allowed);
}

}  // namespace tamaracktrail
