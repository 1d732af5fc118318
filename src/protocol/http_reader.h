#ifndef PROTOCOL_HTTP_READER_H_
#define PROTOCOL_HTTP_READER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "protocol/http_fields.h"

namespace tamaracktrail {

//! Reads one HTTP/1.1 message from bytes as they arrive.
//!
//! Parsing is Boost.Beast's; added are refusals of framing that two parsers
//! could read in two ways (request smuggling). Not thread-safe.
class HttpReader {
 public:
  enum class Kind { kRequest, kResponse };

  //! `max_header_bytes` bounds the head.
  HttpReader(Kind kind, uint32_t max_header_bytes);
  ~HttpReader();

  //! Consumes a part of `buf`, which it removes from there. Errors:
  //! ResourceExhausted for a head over its limit, InvalidArgument else.
  absl::Status Feed(std::string* buf);

  //! The peer closed its side. Errors: the message is not whole.
  absl::Status FeedEnd();

  //! The response has no body whatever its fields say. Precondition: nothing
  //! was fed.
  void ExpectNoBody();

  bool started() const;
  bool head_done() const;
  bool done() const;
  //! The body ends with the connection.
  bool ends_with_connection() const;
  bool keep_alive() const;
  bool chunked() const;
  std::optional<uint64_t> content_length() const;

  const std::string& method() const;
  const std::string& target() const;
  int status() const;
  const std::string& reason() const;
  bool is_http_1_1() const;
  const HttpFields& fields() const;

  //! Body bytes read so far and not taken.
  std::string& body();

 private:
  template <bool kIsRequest>
  class Parser;
  class Base;

  std::unique_ptr<Base> parser_;
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_HTTP_READER_H_
