#include "protocol/event_cutter.h"

#include <gtest/gtest.h>

namespace tamaracktrail {
namespace {

TEST(EventCutterTest, PassesWholeEventsOnly) {
  EventCutter cutter;
  EXPECT_EQ(cutter.Feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(cutter.last_id(), "1");
  EXPECT_EQ(cutter.Feed("ta: b\n"), "");
  EXPECT_EQ(cutter.Feed("\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(cutter.count(), 2);
  EXPECT_EQ(cutter.TakeRest(), "");
}

TEST(EventCutterTest, AResumedStreamRepeatsNothing) {
  EventCutter cutter;
  cutter.Feed("id: 9\ndata: a\n\nid: 10\ndata: b\n\nid: 11\nda");
  cutter.Restart();
  EXPECT_EQ(cutter.Feed("id: 10\ndata: b\n\nid: 11\ndata: c\n\n"),
            "id: 11\ndata: c\n\n");
  EXPECT_EQ(cutter.count(), 3);
}

TEST(EventCutterTest, TakesCarriageReturnsAndEventsWithoutId) {
  EventCutter cutter;
  EXPECT_EQ(cutter.Feed("id:4\r\ndata: a\r\n\r\n"), "id:4\r\ndata: a\r\n\r\n");
  EXPECT_EQ(cutter.last_id(), "4");
  EXPECT_EQ(cutter.Feed("data: end\n\n"), "data: end\n\n");
  EXPECT_EQ(cutter.last_id(), "4");
}

}  // namespace
}  // namespace tamaracktrail
