#include "protocol/sse_splitter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "protocol/sse_parser.h"

namespace tamaracktrail {
namespace {

TEST(SseSplitterTest, ReturnsCompleteEventsOnly) {
  SseSplitter splitter;
  EXPECT_EQ(splitter.Feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(splitter.last_event_id(), "1");
  EXPECT_EQ(splitter.Feed("ta: b\n"), "");
  EXPECT_EQ(splitter.Feed("\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(splitter.event_count(), 2);
  EXPECT_EQ(splitter.incomplete_bytes(), 0U);
}

TEST(SseSplitterTest, DropsEventsThatAResumedStreamRepeats) {
  SseSplitter splitter;
  splitter.Feed("id: 9\ndata: a\n\nid: 10\ndata: b\n\nid: 11\nda");
  splitter.Restart();
  EXPECT_EQ(splitter.Feed("id: 10\ndata: b\n\nid: 11\ndata: c\n\n"),
            "id: 11\ndata: c\n\n");
  EXPECT_EQ(splitter.event_count(), 3);
}

TEST(SseSplitterTest, AcceptsCarriageReturnsAndEventsWithoutId) {
  SseSplitter splitter;
  EXPECT_EQ(splitter.Feed("id:4\r\ndata: a\r\n\r\n"),
            "id:4\r\ndata: a\r\n\r\n");
  EXPECT_EQ(splitter.last_event_id(), "4");
  EXPECT_EQ(splitter.Feed("data: end\n\n"), "data: end\n\n");
  EXPECT_EQ(splitter.Feed("data: mixed\n\r\n"), "data: mixed\n\r\n");
  EXPECT_EQ(splitter.last_event_id(), "4");
}

// Guards against a stream of events without a number after ones with a number.
TEST(SseSplitterTest, IdThatIsNoNumberIsNeverARepeatedOne) {
  SseSplitter splitter;
  EXPECT_EQ(splitter.Feed("id: 9\n\nid: x\n\nid: 3\n\nid: 3\n\n"),
            "id: 9\n\nid: x\n\nid: 3\n\n");
  EXPECT_EQ(splitter.last_event_id(), "3");
  EXPECT_EQ(splitter.event_count(), 3);
}

//! Size of the first event of `text` with its blank line; 0 if it is not
//! complete. Searches all of `text` for each kind of blank line.
size_t FirstEventBytes(std::string_view text) {
  const size_t lf = text.find("\n\n");
  const size_t crlf = text.find("\n\r\n");
  const size_t at = std::min(lf, crlf);
  return at == std::string_view::npos ? 0 : at + (at == lf ? 2 : 3);
}

//! A stream of short pieces from which all kinds of line ends arise. Ids rise.
std::string RandomStream(std::mt19937_64* random) {
  std::string text;
  for (uint64_t i = 0, n = (*random)() % 60; i < n; ++i) {
    switch ((*random)() % 8) {
      case 0:
        absl::StrAppend(&text, "id: ", i + 1, "\n");
        break;
      case 1:
        absl::StrAppend(&text, "data: ", i);
        break;
      case 2:
        text += ":";
        break;
      case 3:
        text += "\r";
        break;
      case 4:
        text += "\r\n";
        break;
      default:
        text += "\n";
        break;
    }
  }
  return text;
}

//! `text` in pieces of which some are empty.
std::vector<std::string> CutAnywhere(const std::string& text,
                                     std::mt19937_64* random) {
  std::vector<std::string> pieces = {""};
  for (const char it : text) {
    while ((*random)() % 4 == 0) {
      pieces.emplace_back();
    }
    pieces.back() += it;
  }
  return pieces;
}

// Guards against results that depend on where a stream is cut, and against
// bytes of events that are changed or lost.
TEST(SseSplitterTest, ResultDoesNotDependOnCuts) {
  for (uint64_t seed = 1; seed <= 20000; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 random(seed);
    const std::string text = RandomStream(&random);
    size_t complete = 0;
    int64_t events = 0;
    while (const size_t n =
               FirstEventBytes(std::string_view(text).substr(complete))) {
      complete += n;
      ++events;
    }
    SseSplitter splitter;
    SseParser parser;
    std::vector<SseEvent> parsed;
    std::string forwarded;
    for (const std::string& it : CutAnywhere(text, &random)) {
      forwarded += splitter.Feed(it);
      const std::vector<SseEvent> more = parser.Feed(it);
      parsed.insert(parsed.end(), more.begin(), more.end());
    }
    ASSERT_EQ(forwarded, text.substr(0, complete));
    ASSERT_EQ(splitter.event_count(), events);
    ASSERT_EQ(splitter.incomplete_bytes(), text.size() - complete);
    ASSERT_EQ(parsed, SseParser().Feed(text));
    ASSERT_EQ(parser.pending_bytes(), text.size() - complete);
  }
}

}  // namespace
}  // namespace tamaracktrail
