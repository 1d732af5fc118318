#include "protocol/http_reader.h"

#include <gtest/gtest.h>

#include <string>

namespace tamaracktrail {
namespace {

constexpr uint32_t kMaxHeaderBytes = 4096;

struct BadRequest {
  const char* name;
  const char* text;
};

class BadRequestTest : public testing::TestWithParam<BadRequest> {};

TEST_P(BadRequestTest, IsNotParsedAsCompleteRequest) {
  HttpReader reader(HttpReader::Kind::kRequest, kMaxHeaderBytes);
  std::string buf = GetParam().text;
  EXPECT_FALSE(reader.Feed(&buf).ok() && reader.done());
}

INSTANTIATE_TEST_SUITE_P(
    Framing,
    BadRequestTest,
    testing::Values(
        BadRequest{"two_lengths",
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                   "Content-Length: 3\r\n\r\nabc"},
        BadRequest{"two_different_lengths",
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                   "Content-Length: 4\r\n\r\nabcd"},
        BadRequest{"length_list",
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\n"
                   "abc"},
        BadRequest{"signed_length",
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\n"
                   "abc"},
        BadRequest{"length_and_chunks",
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        BadRequest{"chunks_and_length",
                   "POST / HTTP/1.1\r\nHost: a\r\n"
                   "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"
                   "0\r\n\r\n"},
        BadRequest{"two_codings",
                   "POST / HTTP/1.1\r\nHost: a\r\n"
                   "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
        BadRequest{"unknown_coding",
                   "POST / HTTP/1.1\r\nHost: a\r\n"
                   "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
        BadRequest{"bad_chunk_size",
                   "POST / HTTP/1.1\r\nHost: a\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n"},
        BadRequest{"bare_line_feed",
                   "POST / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n"},
        BadRequest{"space_before_colon",
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\n"
                   "abc"},
        BadRequest{"no_host", "GET / HTTP/1.1\r\n\r\n"},
        BadRequest{"two_hosts",
                   "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(HttpReaderTest, RequestFedByteByByteIsParsedAndNextRequestStaysInBuffer) {
  const std::string text =
      "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nContent-Length: 3\r\n\r\n"
      "abc";
  HttpReader reader(HttpReader::Kind::kRequest, kMaxHeaderBytes);
  std::string buf;
  for (const char c : text) {
    buf.push_back(c);
    ASSERT_TRUE(reader.Feed(&buf).ok());
  }
  ASSERT_TRUE(reader.done());
  EXPECT_EQ(reader.method(), "POST");
  EXPECT_EQ(reader.target(), "/a?b=c");
  EXPECT_EQ(reader.body(), "abc");
  EXPECT_EQ(reader.fields().Find("x-a"), "1");
  buf = "GET / HTTP/1.1\r\n";
  ASSERT_TRUE(reader.Feed(&buf).ok());
  EXPECT_EQ(buf, "GET / HTTP/1.1\r\n");
}

TEST(HttpReaderTest, ChunkedBodyIsDecoded) {
  HttpReader reader(HttpReader::Kind::kRequest, kMaxHeaderBytes);
  std::string buf =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  ASSERT_TRUE(reader.Feed(&buf).ok());
  EXPECT_TRUE(reader.done());
  EXPECT_EQ(reader.body(), "abcde");
}

TEST(HttpReaderTest, HeadOverLimitReturnsResourceExhausted) {
  HttpReader reader(HttpReader::Kind::kRequest, 256);
  std::string buf =
      "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(1000, 'a') + "\r\n\r\n";
  EXPECT_TRUE(absl::IsResourceExhausted(reader.Feed(&buf)));
}

TEST(HttpReaderTest, ResponseWithoutLengthEndsWhenConnectionCloses) {
  HttpReader reader(HttpReader::Kind::kResponse, kMaxHeaderBytes);
  std::string buf = "HTTP/1.1 200 OK\r\n\r\nabc";
  ASSERT_TRUE(reader.Feed(&buf).ok());
  EXPECT_EQ(reader.framing(), BodyFraming::kConnectionEnd);
  EXPECT_FALSE(reader.done());
  EXPECT_TRUE(reader.FeedEnd().ok());
  EXPECT_TRUE(reader.done());
}

TEST(HttpReaderTest, TruncatedResponseIsAnErrorWhenConnectionCloses) {
  HttpReader reader(HttpReader::Kind::kResponse, kMaxHeaderBytes);
  std::string buf = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc";
  ASSERT_TRUE(reader.Feed(&buf).ok());
  EXPECT_FALSE(reader.done());
  EXPECT_FALSE(reader.FeedEnd().ok());
}

}  // namespace
}  // namespace tamaracktrail
