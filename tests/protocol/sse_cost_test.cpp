//! Guards against an event loop that stands still while it splits a stream of
//! short events: the work for a read must grow with its bytes alone.

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <string>

#include "protocol/sse_parser.h"
#include "protocol/sse_splitter.h"

namespace tamaracktrail {
namespace {

constexpr size_t kReadBytes = 64 * 1024;
//! A line end and the two bytes behind it are examined again where the next
//! line begins.
constexpr uint64_t kMaxExaminations = 4;

struct Stream {
  const char* name;
  std::string text;  //!< Repeated without end.
};

const Stream kStreams[] = {{"LineFeeds", "\n"},
                           {"LineEnds", "\r\n"},
                           {"CarriageReturns", "\r"},
                           {"Comments", ":\n\n"},
                           {"ShortEvents", "data: x\n\n"},
                           {"MixedLineEnds", "data: x\n\r\n"},
                           {"Ids", "id: 1\n\n"},
                           {"LinesWithoutEnd", "data: x\n"},
                           {"BytesWithoutEnd", "x"}};

std::string Repeat(const std::string& text, size_t bytes) {
  std::string all;
  while (all.size() < bytes) {
    all += text;
  }
  return all;
}

class SseCostTest : public testing::TestWithParam<Stream> {
 protected:
  //! Bytes that `Reader` examines for `bytes` of the stream in reads of `read`.
  template <class Reader>
  static uint64_t Examined(size_t bytes, size_t read) {
    const std::string all = Repeat(GetParam().text, bytes);
    Reader reader;
    for (size_t at = 0; at < all.size(); at += read) {
      reader.Feed(all.substr(at, read));
    }
    return reader.examined_bytes();
  }

  template <class Reader>
  static void ExpectWorkInProportion() {
    for (const size_t read : {size_t{1}, size_t{16}, kReadBytes}) {
      for (const size_t bytes : {kReadBytes / 8, kReadBytes}) {
        EXPECT_LE(Examined<Reader>(bytes, read), kMaxExaminations * bytes)
            << bytes << " bytes in reads of " << read;
      }
    }
  }
};

TEST_P(SseCostTest, SplitterExaminesEachByteAFewTimes) {
  ExpectWorkInProportion<SseSplitter>();
}

TEST_P(SseCostTest, ParserExaminesEachByteAFewTimes) {
  ExpectWorkInProportion<SseParser>();
}

INSTANTIATE_TEST_SUITE_P(Streams,
                         SseCostTest,
                         testing::ValuesIn(kStreams),
                         [](const testing::TestParamInfo<Stream>& info) {
                           return info.param.name;
                         });

}  // namespace
}  // namespace tamaracktrail
