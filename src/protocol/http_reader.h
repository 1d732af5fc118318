#ifndef PROTOCOL_HTTP_READER_H_
#define PROTOCOL_HTTP_READER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "protocol/body_framing.h"
#include "protocol/http_fields.h"

namespace tamaracktrail {

class ByteQueue;

//! Incremental parser of one HTTP/1.1 message.
//!
//! Parses with Boost.Beast and also rejects framing that two parsers could
//! interpret differently (request smuggling), and status codes that no answer
//! to a request without Upgrade has. Not thread-safe.
class HttpReader {
 public:
  enum class Kind { kRequest, kResponse };

  //! For a body whose bytes the user takes from `body` as they come.
  static constexpr uint64_t kNoBodyLimit = std::numeric_limits<uint64_t>::max();

  //! `max_header_bytes` limits the start line and the header fields together.
  //! It also limits what a body in chunks has between its data: each line of a
  //! chunk's size with its extensions, and the last chunk with its trailer.
  //! `max_body_bytes` limits the data of the body.
  HttpReader(Kind kind, uint32_t max_header_bytes, uint64_t max_body_bytes);
  ~HttpReader();

  //! Parses the part of `bytes` that belongs to this message and returns its
  //! size. The next call gets the rest, which is less than `max_header_bytes`
  //! unless the message is done, with further bytes after it. Errors:
  //! kResourceExhausted if `max_header_bytes` is exceeded, kOutOfRange if
  //! `max_body_bytes` is, otherwise kInvalidArgument.
  absl::StatusOr<size_t> Parse(std::string_view bytes);

  //! Parses and removes the part of a buffer that belongs to this message.
  //! Errors as for Parse, which leave the buffer as it is.
  absl::Status Feed(ByteQueue* buf);
  absl::Status Feed(std::string* buf);

  //! To be called when the peer has closed its side. Errors: the message is
  //! incomplete.
  absl::Status FeedEnd();

  //! Treats the response as one without a body, whatever its fields say, as
  //! after a HEAD request. Precondition: Feed was not called yet.
  void ExpectNoBody();

  bool started() const;
  bool head_done() const;
  bool done() const;
  //! How the end of the body is recognised. Precondition: the head is done.
  BodyFraming framing() const;
  bool keep_alive() const;
  std::optional<uint64_t> content_length() const;

  const std::string& method() const;
  const std::string& target() const;
  int status() const;
  const std::string& reason() const;
  bool is_http_1_1() const;
  const HttpFields& fields() const;

  //! Body bytes that were parsed and that the caller has not removed yet.
  std::string& body();

 private:
  template <bool kIsRequest>
  class Parser;
  class Base;

  std::unique_ptr<Base> parser_;
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_HTTP_READER_H_
