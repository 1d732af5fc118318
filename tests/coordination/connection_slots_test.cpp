#include "coordination/connection_slots.h"

#include <gtest/gtest.h>

namespace tamaracktrail {
namespace {

using Phase = ConnectionSlots::Phase;

constexpr uint32_t kAddress = 1;
constexpr uint32_t kOtherAddress = 2;

//! Adds connections 1 to `n`, one a millisecond, from changing addresses.
Millis Fill(ConnectionSlots* slots, size_t n) {
  Millis now(1000);
  for (size_t i = 1; i <= n; ++i) {
    now = now + Millis(1);
    slots->Add(now, i, static_cast<uint32_t>(100 + i));
  }
  return now;
}

TEST(ConnectionSlotsTest, NothingGivesWayWhileSlotsAreFree) {
  ConnectionSlots slots(4);
  const Millis now = Fill(&slots, 3);
  const auto admission = slots.Admit(now + Millis(60000), kAddress);
  EXPECT_TRUE(admission.accepts);
  EXPECT_FALSE(admission.closes);
}

// Guards against idle connections that keep new ones out.
TEST(ConnectionSlotsTest, TheLongestIdleConnectionGivesWay) {
  ConnectionSlots slots(4);
  const Millis now = Fill(&slots, 4);
  EXPECT_EQ(slots.Admit(now, kAddress).closes, 1U);
  // Connection 1 has served a request since.
  slots.Update(now + Millis(1), 1, Phase::kReceiving);
  slots.Update(now + Millis(2), 1, Phase::kServing);
  EXPECT_EQ(slots.Admit(now + Millis(2), kAddress).closes, 2U);
  slots.Update(now + Millis(3), 1, Phase::kIdle);
  EXPECT_EQ(slots.Admit(now + Millis(3), kAddress).closes, 2U);
  slots.Remove(2);
  EXPECT_FALSE(slots.Admit(now + Millis(4), kAddress).closes);
}

// Guards against requests that are begun and never completed and thereby keep
// new connections out.
TEST(ConnectionSlotsTest, WithoutIdleConnectionsAStalledRequestGivesWay) {
  ConnectionSlots slots(4);
  Millis now = Fill(&slots, 4);
  for (ConnectionSlots::Id it = 1; it <= 4; ++it) {
    now = now + Millis(1);
    slots.Update(now, it, it == 1 ? Phase::kServing : Phase::kReceiving);
  }
  EXPECT_FALSE(slots.Admit(now, kAddress).accepts);
  now = now + ConnectionSlots::kStalledTime;
  EXPECT_EQ(slots.Admit(now, kAddress).closes, 2U);
  slots.Update(now, 2, Phase::kReceiving);  // Another byte of its request.
  EXPECT_EQ(slots.Admit(now, kAddress).closes, 3U);
}

TEST(ConnectionSlotsTest, RequestsThatAreServedNeverGiveWay) {
  ConnectionSlots slots(4);
  const Millis now = Fill(&slots, 4);
  for (ConnectionSlots::Id it = 1; it <= 4; ++it) {
    slots.Update(now, it, Phase::kServing);
  }
  EXPECT_FALSE(slots.Admit(now + Millis(60000), kAddress).accepts);
}

// Guards against callers that never read their answers and thereby keep new
// connections out.
TEST(ConnectionSlotsTest, AnAnswerThatIsNotReadGivesWayLast) {
  ConnectionSlots slots(4);
  Millis now = Fill(&slots, 4);
  for (ConnectionSlots::Id it = 1; it <= 4; ++it) {
    now = now + Millis(1);
    slots.Update(now, it, it == 4 ? Phase::kReceiving : Phase::kSending);
  }
  EXPECT_FALSE(slots.Admit(now, kAddress).accepts);
  now = now + ConnectionSlots::kUnreadTime;
  EXPECT_EQ(slots.Admit(now, kAddress).closes, 4U);
  slots.Update(now, 4, Phase::kServing);
  EXPECT_EQ(slots.Admit(now, kAddress).closes, 1U);
  slots.Update(now, 1, Phase::kSending);  // The caller has read some bytes.
  EXPECT_EQ(slots.Admit(now, kAddress).closes, 2U);
}

// Guards against one caller that occupies all slots with requests.
TEST(ConnectionSlotsTest, OneAddressLeavesSlotsToOthers) {
  ConnectionSlots slots(32);
  Millis now(1000);
  ConnectionSlots::Id last = 0;
  while (slots.Admit(now, kAddress).accepts) {
    slots.Add(now, ++last, kAddress);
    slots.Update(now, last, Phase::kServing);
  }
  EXPECT_EQ(slots.size(), 30U);
  EXPECT_TRUE(slots.Admit(now, kOtherAddress).accepts);
  // At its limit, an address replaces only its own connections.
  slots.Add(now, ++last, kOtherAddress);
  EXPECT_FALSE(slots.Admit(now, kAddress).accepts);
  slots.Update(now, 7, Phase::kIdle);
  EXPECT_EQ(slots.Admit(now, kAddress).closes, 7U);
  slots.Remove(7);
  EXPECT_TRUE(slots.Admit(now, kAddress).accepts);
}

}  // namespace
}  // namespace tamaracktrail
