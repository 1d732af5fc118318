#include "protocol/http_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "protocol/byte_queue.h"
#include "protocol/text.h"

namespace tamaracktrail {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

namespace {

//! Whether `text` has a control character that is not allowed in a field value.
//! Parsers differ in whether a lone CR or LF ends a line.
bool HasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
  });
}

//! Codes outside of 100 to 599 are invalid (RFC 9110, 15). 101 is the answer to
//! an Upgrade, a field that no request here has; what follows it isn't HTTP.
bool IsValidStatus(int code) {
  return code >= 100 && code <= 599 && code != 101;
}

//! Size of the shortest last chunk, "0\r\n\r\n". At the start of a chunk, every
//! complete message goes on with at least this many bytes.
constexpr size_t kMinChunkBytes = 5;

std::string_view View(string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

//! Interface and results that the request and response parsers share.
class HttpReader::Base {
 public:
  virtual ~Base() = default;
  virtual absl::StatusOr<size_t> Parse(std::string_view bytes) = 0;
  virtual absl::Status FeedEnd() = 0;
  virtual void ExpectNoBody() = 0;
  virtual bool Done() const = 0;
  virtual bool NeedsEnd() const = 0;
  virtual bool KeepAlive() const = 0;
  virtual bool Chunked() const = 0;
  virtual std::optional<uint64_t> ContentLength() const = 0;

  bool started = false;
  bool head_done = false;
  std::string method;
  std::string target;
  int status = 0;
  std::string reason;
  int version = 11;  // HTTP/1.1 as Beast codes it.
  HttpFields fields;
  std::string body;
};

template <bool kIsRequest>
class HttpReader::Parser : public HttpReader::Base,
                           private http::basic_parser<kIsRequest> {
 public:
  Parser(uint32_t max_header_bytes, uint64_t max_body_bytes)
      : max_header_bytes_(max_header_bytes) {
    this->header_limit(max_header_bytes);
    this->body_limit(max_body_bytes);
    // Each call to `put` parses one element, so that the bytes between the data
    // of two chunks can be counted.
    this->eager(false);
  }

  absl::StatusOr<size_t> Parse(std::string_view bytes) override {
    size_t consumed = 0;
    while (consumed < bytes.size() && !this->is_done()) {
      const std::string_view rest = bytes.substr(consumed);
      const bool at_chunk_start = AtChunkStart();
      // The parser asserts that a last chunk which it has seen before has
      // kMinChunkBytes.
      if (at_chunk_start && rest.size() < kMinChunkBytes) {
        break;
      }
      error_code ec = http::error::need_more;
      size_t n = 0;
      if (!at_chunk_start || MayEndChunkStart(rest)) {
        n = this->put(boost::asio::const_buffer(rest.data(), rest.size()), ec);
      }
      consumed += n;
      // With need_more, bytes of the message have arrived even if none of them
      // was consumed.
      started = started || n > 0 || ec == http::error::need_more;
      if (at_chunk_start && (n > 0 ? n : rest.size()) > max_header_bytes_) {
        return absl::ResourceExhaustedError("HTTP: chunk framing limit");
      }
      if (ec == http::error::need_more) {
        break;
      }
      if (ec) {
        return Describe(ec);
      }
      if (n == 0) {
        break;
      }
    }
    return consumed;
  }

  absl::Status FeedEnd() override {
    if (!started) {
      return Describe(http::error::end_of_stream);
    }
    error_code ec;
    this->put_eof(ec);
    return ec ? Describe(ec) : absl::OkStatus();
  }

  void ExpectNoBody() override { this->skip(true); }
  bool Done() const override { return this->is_done(); }
  bool NeedsEnd() const override { return this->need_eof(); }
  bool KeepAlive() const override { return this->keep_alive(); }
  bool Chunked() const override { return this->chunked(); }

  std::optional<uint64_t> ContentLength() const override {
    const auto n = this->content_length();
    return n ? std::optional<uint64_t>(*n) : std::nullopt;
  }

 private:
  absl::Status Describe(const error_code& ec) const {
    const std::string text = absl::StrCat("HTTP: ", ec.message(), detail_);
    if (ec == http::error::header_limit) {
      return absl::ResourceExhaustedError(text);
    }
    return ec == http::error::body_limit ? absl::OutOfRangeError(text)
                                         : absl::InvalidArgumentError(text);
  }

  //! Whether the next byte belongs to the line of a chunk's size, or to the
  //! line break before it.
  bool AtChunkStart() const {
    return head_done && this->chunked() && chunk_bytes_left_ == 0;
  }

  //! Whether the parser has to see `text`, which begins at the start of a chunk
  //! and goes on where the text of the previous call ended. The parser reads
  //! the line of a last chunk again in each call until the trailer is complete,
  //! so it is not called for a part of the trailer.
  bool MayEndChunkStart(std::string_view text) {
    constexpr std::string_view kTrailerEnd = "\r\n\r\n";
    const size_t seen = std::exchange(chunk_start_seen_, text.size());
    if (!in_trailer_) {
      // A line end at the beginning is that of the chunk before.
      in_trailer_ = text.find("\r\n", std::max<size_t>(seen, 2) - 1) !=
                    std::string_view::npos;
      return true;
    }
    const size_t from = seen - std::min(seen, kTrailerEnd.size() - 1);
    return text.find(kTrailerEnd, from) != std::string_view::npos;
  }

  void on_request_impl(http::verb,
                       string_view method_text,
                       string_view target_text,
                       int http_version,
                       error_code& ec) override {
    method = View(method_text);
    target = View(target_text);
    version = http_version;
    if (HasControlCharacter(target)) {
      ec = http::error::bad_target;
    }
  }

  void on_response_impl(int code,
                        string_view reason_text,
                        int http_version,
                        error_code& ec) override {
    if (!IsValidStatus(code)) {
      detail_ = absl::StrCat(" ", code);
      ec = http::error::bad_status;
      return;
    }
    status = code;
    reason = View(reason_text);
    version = http_version;
  }

  void on_field_impl(http::field name,
                     string_view name_text,
                     string_view value,
                     error_code& ec) override {
    if (HasControlCharacter(View(value))) {
      ec = http::error::bad_value;
      return;
    }
    const bool is_framing_field = name == http::field::content_length ||
                                  name == http::field::transfer_encoding;
    if (is_framing_field && (fields.Count("Content-Length") > 0 ||
                             fields.Count("Transfer-Encoding") > 0)) {
      ec = http::error::bad_content_length;
      return;
    }
    if (name == http::field::transfer_encoding &&
        !EqualsIgnoringCase(View(value), "chunked")) {
      ec = http::error::bad_transfer_encoding;
      return;
    }
    if (name == http::field::content_length &&
        value.find_first_not_of("0123456789") != string_view::npos) {
      ec = http::error::bad_content_length;
      return;
    }
    fields.Add(View(name_text), View(value));
  }

  void on_header_impl(error_code& ec) override {
    head_done = true;
    if (kIsRequest && version == 11 && fields.Count("Host") != 1) {
      ec = http::error::bad_field;
    }
  }

  void on_body_init_impl(const boost::optional<uint64_t>&,
                         error_code&) override {}

  size_t on_body_impl(string_view text, error_code&) override {
    body.append(text.data(), text.size());
    return text.size();
  }

  void on_chunk_header_impl(uint64_t size, string_view, error_code&) override {
    chunk_bytes_left_ = size;
    chunk_start_seen_ = 0;
    in_trailer_ = false;
  }

  size_t on_chunk_body_impl(uint64_t, string_view text, error_code&) override {
    body.append(text.data(), text.size());
    chunk_bytes_left_ -= text.size();
    return text.size();
  }

  void on_finish_impl(error_code&) override {}

  size_t max_header_bytes_;
  std::string detail_;             //!< Of an error, as a suffix of its message.
  uint64_t chunk_bytes_left_ = 0;  //!< Of the chunk that is being read.
  size_t chunk_start_seen_ = 0;    //!< Bytes of the start of the next chunk.
  bool in_trailer_ = false;        //!< The line of the last chunk is complete.
};

HttpReader::HttpReader(Kind kind,
                       uint32_t max_header_bytes,
                       uint64_t max_body_bytes) {
  if (kind == Kind::kRequest) {
    parser_ = std::make_unique<Parser<true>>(max_header_bytes, max_body_bytes);
  } else {
    parser_ = std::make_unique<Parser<false>>(max_header_bytes, max_body_bytes);
  }
}

HttpReader::~HttpReader() = default;

absl::StatusOr<size_t> HttpReader::Parse(std::string_view bytes) {
  return parser_->Parse(bytes);
}

absl::Status HttpReader::Feed(ByteQueue* buf) {
  const absl::StatusOr<size_t> n = Parse(buf->view());
  if (n.ok()) {
    buf->Consume(*n);
  }
  return n.status();
}

absl::Status HttpReader::Feed(std::string* buf) {
  const absl::StatusOr<size_t> n = Parse(*buf);
  if (n.ok()) {
    buf->erase(0, *n);
  }
  return n.status();
}

absl::Status HttpReader::FeedEnd() {
  return parser_->FeedEnd();
}

void HttpReader::ExpectNoBody() {
  parser_->ExpectNoBody();
}

bool HttpReader::started() const {
  return parser_->started;
}

bool HttpReader::head_done() const {
  return parser_->head_done;
}

bool HttpReader::done() const {
  return parser_->Done();
}

BodyFraming HttpReader::framing() const {
  if (parser_->NeedsEnd()) {
    return BodyFraming::kConnectionEnd;
  }
  return parser_->Chunked() ? BodyFraming::kChunks : BodyFraming::kLength;
}

bool HttpReader::keep_alive() const {
  return parser_->KeepAlive();
}

std::optional<uint64_t> HttpReader::content_length() const {
  return parser_->ContentLength();
}

const std::string& HttpReader::method() const {
  return parser_->method;
}

const std::string& HttpReader::target() const {
  return parser_->target;
}

int HttpReader::status() const {
  return parser_->status;
}

const std::string& HttpReader::reason() const {
  return parser_->reason;
}

bool HttpReader::is_http_1_1() const {
  return parser_->version == 11;
}

const HttpFields& HttpReader::fields() const {
  return parser_->fields;
}

std::string& HttpReader::body() {
  return parser_->body;
}

}  // namespace tamaracktrail
