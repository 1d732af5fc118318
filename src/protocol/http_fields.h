#ifndef PROTOCOL_HTTP_FIELDS_H_
#define PROTOCOL_HTTP_FIELDS_H_

#include <optional>
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

//! Header fields in their order. Not thread-safe.
class HttpFields {
 public:
  void Add(std::string_view name, std::string_view value);

  //! Value of the first field with this name, in any case.
  std::optional<std::string_view> Find(std::string_view name) const;

  //! How many fields have this name.
  size_t Count(std::string_view name) const;

  const std::vector<HttpField>& all() const { return fields_; }
  void Clear() { fields_.clear(); }

  friend bool operator==(const HttpFields&, const HttpFields&) = default;

 private:
  std::vector<HttpField> fields_;
};

//! Whether a field concerns one connection only and is not forwarded
//! (RFC 9110, 7.6.1). Thread-safe.
bool IsHopByHopField(std::string_view name);

}  // namespace tamaracktrail

#endif  // PROTOCOL_HTTP_FIELDS_H_
