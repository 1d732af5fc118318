#ifndef PROTOCOL_HTTP_FIELDS_H_
#define PROTOCOL_HTTP_FIELDS_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tamaracktrail {

//! One header field as it was received.
struct HttpField {
  std::string name;
  std::string value;

  friend bool operator==(const HttpField&, const HttpField&) = default;
};

//! Header fields in the order received. Not thread-safe.
class HttpFields {
 public:
  void Add(std::string_view name, std::string_view value);

  //! Value of the first field with this name, compared case-insensitively.
  std::optional<std::string_view> Find(std::string_view name) const;

  //! Number of fields with this name, compared case-insensitively.
  size_t Count(std::string_view name) const;

  const std::vector<HttpField>& all() const { return fields_; }
  void Clear() { fields_.clear(); }

  friend bool operator==(const HttpFields&, const HttpFields&) = default;

 private:
  std::vector<HttpField> fields_;
};

//! Returns the members of a comma-separated list, in lower case. Thread-safe.
std::set<std::string> ListMembers(std::string_view value);

//! Whether a field is hop-by-hop, so that an intermediary does not forward it
//! (RFC 9110, 7.6.1). Thread-safe.
bool IsHopByHopField(std::string_view name);

}  // namespace tamaracktrail

#endif  // PROTOCOL_HTTP_FIELDS_H_
