#include "coordination/service_spec.h"

#include <algorithm>

namespace tamaracktrail {

bool ServiceSpec::Repeatable(const std::string& method,
                             const std::string& path) const {
  const std::string call = method + " " + path;
  return std::none_of(
      non_repeatable.begin(), non_repeatable.end(),
      [&](const std::string& it) { return call.starts_with(it); });
}

}  // namespace tamaracktrail
