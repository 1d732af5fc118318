#include "protocol/sse_splitter.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace tamaracktrail
