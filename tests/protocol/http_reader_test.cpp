#include "protocol/http_reader.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace tamaracktrail {
namespace {

constexpr uint32_t kMaxHeaderBytes = 4096;
constexpr uint64_t kMaxBodyBytes = 4096;

struct BadRequest {
  const char* name;
  const char* text;
};

class BadRequestTest : public testing::TestWithParam<BadRequest> {};

TEST_P(BadRequestTest, IsNotParsedAsCompleteRequest) {
  HttpReader reader(HttpReader::Kind::kRequest, kMaxHeaderBytes, kMaxBodyBytes);
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
  HttpReader reader(HttpReader::Kind::kRequest, kMaxHeaderBytes, kMaxBodyBytes);
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
  HttpReader reader(HttpReader::Kind::kRequest, kMaxHeaderBytes, kMaxBodyBytes);
  std::string buf =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  ASSERT_TRUE(reader.Feed(&buf).ok());
  EXPECT_TRUE(reader.done());
  EXPECT_EQ(reader.body(), "abcde");
}

TEST(HttpReaderTest, HeadOverLimitReturnsResourceExhausted) {
  HttpReader reader(HttpReader::Kind::kRequest, 256, kMaxBodyBytes);
  std::string buf =
      "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(1000, 'a') + "\r\n\r\n";
  EXPECT_TRUE(absl::IsResourceExhausted(reader.Feed(&buf)));
}

TEST(HttpReaderTest, ResponseWithoutLengthEndsWhenConnectionCloses) {
  HttpReader reader(HttpReader::Kind::kResponse, kMaxHeaderBytes,
                    kMaxBodyBytes);
  std::string buf = "HTTP/1.1 200 OK\r\n\r\nabc";
  ASSERT_TRUE(reader.Feed(&buf).ok());
  EXPECT_EQ(reader.framing(), BodyFraming::kConnectionEnd);
  EXPECT_FALSE(reader.done());
  EXPECT_TRUE(reader.FeedEnd().ok());
  EXPECT_TRUE(reader.done());
}

TEST(HttpReaderTest, TruncatedResponseIsAnErrorWhenConnectionCloses) {
  HttpReader reader(HttpReader::Kind::kResponse, kMaxHeaderBytes,
                    kMaxBodyBytes);
  std::string buf = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc";
  ASSERT_TRUE(reader.Feed(&buf).ok());
  EXPECT_FALSE(reader.done());
  EXPECT_FALSE(reader.FeedEnd().ok());
}

// Guards against an abort of the process: the parser's precondition on the size
// of a last chunk does not hold for one that arrives in segments.
TEST(HttpReaderTest, LastChunkInSegmentsIsNotPassedToTheParserTooEarly) {
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string last_chunk = "0\r\n\r\n";
  for (size_t first = 0; first <= last_chunk.size(); ++first) {
    SCOPED_TRACE(first);
    HttpReader reader(HttpReader::Kind::kRequest, kMaxHeaderBytes,
                      kMaxBodyBytes);
    std::string buf = head + last_chunk.substr(0, first);
    ASSERT_TRUE(reader.Feed(&buf).ok());
    ASSERT_TRUE(reader.Feed(&buf).ok());
    EXPECT_EQ(reader.done(), first == last_chunk.size());
    for (size_t i = first; i < last_chunk.size(); ++i) {
      EXPECT_FALSE(reader.done());
      buf.push_back(last_chunk[i]);
      ASSERT_TRUE(reader.Feed(&buf).ok());
    }
    EXPECT_TRUE(reader.done());
    EXPECT_TRUE(buf.empty());
  }
}

// Guards against a trailer whose end is not seen if it arrives byte by byte
// behind a long line of the last chunk.
TEST(HttpReaderTest, TrailerFedByteByByteEndsTheMessage) {
  for (const char* trailer : {"", "X-T: 1\r\n", "X-T: 1\r\nX-U: 2\r\n"}) {
    HttpReader reader(HttpReader::Kind::kResponse, kMaxHeaderBytes,
                      kMaxBodyBytes);
    const std::string text =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\nx\r\n0;a=" +
        std::string(100, 'b') + "\r\n" + trailer + "\r\n";
    std::string buf;
    for (size_t i = 0; i < text.size(); ++i) {
      EXPECT_FALSE(reader.done()) << i;
      buf += text[i];
      ASSERT_TRUE(reader.Feed(&buf).ok()) << i;
    }
    EXPECT_TRUE(reader.done());
    EXPECT_EQ(reader.body(), "x");
    EXPECT_EQ(buf, "");
  }
}

//! A response that is well-formed for about half of the seeds; of the others,
//! one byte is replaced, inserted or removed.
std::string RandomResponse(std::mt19937_64* random) {
  const auto draw = [&](size_t n) { return (*random)() % n; };
  std::string text = "HTTP/1.1 200 OK\r\nX-A: 1\r\n";
  const std::string body(draw(40), 'x');
  switch (draw(4)) {
    case 0:
      text +=
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      break;
    case 1:
      text += "\r\n" + body;
      break;
    default:
      text += "Transfer-Encoding: chunked\r\n\r\n";
      for (size_t at = 0; at < body.size();) {
        const size_t n = std::min(body.size() - at, 1 + draw(15));
        text += "0123456789abcdef"[n];
        text += draw(3) == 0 ? ";a=b\r\n" : "\r\n";
        text += body.substr(at, n) + "\r\n";
        at += n;
      }
      text += draw(3) == 0 ? "000;a\r\n" : "0\r\n";
      text += draw(3) == 0 ? "X-T: 1\r\n\r\n" : "\r\n";
      break;
  }
  const size_t at = draw(text.size());
  const char byte = "\r\n0;:ax \t\x7f"[draw(10)];
  switch (draw(6)) {
    case 0:
      text[at] = byte;
      break;
    case 1:
      text.insert(at, 1, byte);
      break;
    case 2:
      text.erase(at, 1);
      break;
    default:
      break;
  }
  return text;
}

//! What a reader makes of a response that arrives in `segments`, of which some
//! are empty, and then ends.
std::string ReadResponse(const std::vector<std::string>& segments) {
  HttpReader reader(HttpReader::Kind::kResponse, kMaxHeaderBytes,
                    kMaxBodyBytes);
  std::string buf;
  absl::Status status;
  for (const std::string& it : segments) {
    buf += it;
    if (status.ok()) {
      status = reader.Feed(&buf);
    }
  }
  if (status.ok() && !reader.done()) {
    status = reader.FeedEnd();
  }
  if (!status.ok() || !reader.done()) {
    return "not complete";
  }
  return std::to_string(reader.status()) + " " + reader.body() + " rest " + buf;
}

// Guards against results that depend on how the network splits a message, and
// against messages that end the process.
TEST(HttpReaderTest, ResultDoesNotDependOnSegments) {
  for (uint64_t seed = 1; seed <= 20000; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 random(seed);
    const std::string text = RandomResponse(&random).substr(
        0, random() % 8 == 0 ? random() % 120 : 1000);
    std::vector<std::string> segments = {""};
    for (const char c : text) {
      while (random() % 4 == 0) {
        segments.emplace_back();
      }
      segments.back() += c;
    }
    ASSERT_EQ(ReadResponse(segments), ReadResponse({text}));
  }
}

}  // namespace
}  // namespace tamaracktrail
