#include "coordination/endpoint_board.h"

#include <gtest/gtest.h>

#include <string>

#include "coordination/endpoint_state.h"
#include "coordination/endpoint_ticket.h"
#include "state/endpoint_entry.h"

namespace tamaracktrail {
namespace {

constexpr Millis kNow{100000};

EndpointEntry Entry(const std::string& id, int64_t born, int64_t sequence) {
  EndpointEntry entry;
  entry.id = id;
  entry.service = "llm";
  entry.address = "10.0.0.1:80";
  entry.data_centre = "a";
  entry.born = born;
  entry.sequence = sequence;
  entry.slots = 8;
  return entry;
}

EndpointTicket SendOne(EndpointBoard* board, const std::string& id) {
  return board->OnSent(kNow, *board->Find(id, 1), 1000, Millis(50));
}

TEST(EndpointBoardTest, ADrainingEndpointGetsNothingAndDoesNotComeBack) {
  EndpointBoard board;
  board.Apply(kNow, Entry("e", 1, 1));
  EXPECT_EQ(board.Usable(kNow, "llm").size(), 1U);
  EndpointEntry leaving = Entry("e", 1, 2);
  leaving.draining = true;
  board.Apply(kNow, leaving);
  EXPECT_TRUE(board.Usable(kNow, "llm").empty());
  board.Apply(kNow, Entry("e", 1, 3));
  EXPECT_FALSE(board.MayReceive(kNow, "e", 1));
}

TEST(EndpointBoardTest, EntriesOutOfOrderChangeNothing) {
  EndpointBoard board;
  EndpointEntry leaving = Entry("e", 2, 5);
  leaving.draining = true;
  board.Apply(kNow, leaving);
  board.Apply(kNow, Entry("e", 2, 4));
  board.Apply(kNow, Entry("e", 1, 9));
  EXPECT_TRUE(board.Usable(kNow, "llm").empty());
  board.Apply(kNow, Entry("e", 3, 1));
  EXPECT_TRUE(board.MayReceive(kNow, "e", 3));
}

// Seen on a day with 73 instances: an instance that came back from a cut heard
// of a removal, and 25 ms later a peer handed over the entry from before it.
TEST(EndpointBoardTest, APeersCopyDoesNotBringARemovedEndpointBack) {
  EndpointBoard board;
  board.Apply(kNow, Entry("e", 1, 5));
  board.Remove(kNow, "e", true);
  EXPECT_FALSE(board.ApplyCopy(kNow + Millis(25), Entry("e", 1, 7)));
  EXPECT_FALSE(board.MayReceive(kNow + Millis(2000), "e", 1));
  // The store tells that it is there.
  board.Apply(kNow + Millis(2100), Entry("e", 1, 8));
  EXPECT_TRUE(board.MayReceive(kNow + Millis(2200), "e", 1));
  board.Remove(kNow + Millis(2250), "e", false);
  EXPECT_FALSE(board.ApplyCopy(kNow + Millis(2260), Entry("e", 1, 9)));
  EXPECT_FALSE(board.MayReceive(kNow + Millis(2270), "e", 1));
  // What is not missing may come from a peer.
  EXPECT_TRUE(board.ApplyCopy(kNow + Millis(2300), Entry("f", 1, 1)));
  EXPECT_TRUE(board.MayReceive(kNow + Millis(2300), "f", 1));
}

TEST(EndpointBoardTest, ALateEntryDoesNotBringARemovedEndpointBack) {
  EndpointBoard board;
  board.Apply(kNow, Entry("e", 1, 5));
  board.Remove(kNow, "e", false);
  board.Apply(kNow, Entry("e", 1, 5));
  EXPECT_FALSE(board.MayReceive(kNow, "e", 1));
  board.Apply(kNow, Entry("e", 1, 6));
  EXPECT_TRUE(board.MayReceive(kNow, "e", 1));
}

struct RemovalCase {
  const char* name;
  bool store_in_doubt;
  bool draining;
  int64_t after_ms;
  bool usable;
};

class RemovalTest : public testing::TestWithParam<RemovalCase> {};

TEST_P(RemovalTest, UsesAnEndpointThatVanishedOnlyWhileTheStoreIsInDoubt) {
  const RemovalCase& it = GetParam();
  EndpointBoard board;
  EndpointEntry entry = Entry("e", 1, 1);
  entry.draining = it.draining;
  board.Apply(kNow, entry);
  board.Remove(kNow, "e", it.store_in_doubt);
  EXPECT_EQ(board.MayReceive(kNow + Millis(it.after_ms), "e", 1), it.usable);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RemovalTest,
    testing::Values(RemovalCase{"sure", false, false, 0, false},
                    RemovalCase{"doubt", true, false, 500, true},
                    RemovalCase{"doubt_over", true, false, 2000, false},
                    RemovalCase{"drained", true, true, 0, false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(EndpointBoardTest, AListingRemovesWhatItDoesNotName) {
  EndpointBoard board;
  board.Apply(kNow, Entry("e", 1, 1));
  board.Apply(kNow, Entry("f", 1, 1));
  board.KeepOnly(kNow, {"f"}, false);
  EXPECT_FALSE(board.MayReceive(kNow, "e", 1));
  EXPECT_TRUE(board.MayReceive(kNow, "f", 1));
}

TEST(EndpointBoardTest, LoadIsCountedUntilTheFirstByteAndTheEnd) {
  EndpointBoard board;
  board.Apply(kNow, Entry("e", 1, 1));
  EndpointTicket ticket = SendOne(&board, "e");
  EXPECT_EQ(board.Find("e", 1)->prompt_tokens(), 1000);
  EXPECT_EQ(board.Find("e", 1)->open(), 1);
  board.OnFirstByte(kNow + Millis(50), &ticket);
  EXPECT_EQ(board.Find("e", 1)->prompt_tokens(), 0);
  board.OnEnded(kNow + Millis(90), &ticket, EndpointOutcome::kGood);
  EXPECT_EQ(board.Find("e", 1)->open(), 0);
  EXPECT_TRUE(board.OwnLoad().empty());
}

TEST(EndpointBoardTest, PeersReportsReplaceEachOtherAndExpire) {
  EndpointBoard board;
  board.Apply(kNow, Entry("e", 1, 1));
  const uint64_t hash = board.Find("e", 1)->hash;
  board.SetPeerLoad(kNow, 7, {{hash, {500, 2}}, {12345, {9, 9}}});
  board.SetPeerLoad(kNow, 7, {{hash, {300, 1}}});
  board.SetPeerLoad(kNow, 8, {{hash, {100, 1}}});
  EXPECT_EQ(board.Find("e", 1)->prompt_tokens(), 400);
  board.OnTick(kNow + Millis(10000));
  EXPECT_EQ(board.Find("e", 1)->prompt_tokens(), 0);
}

TEST(EndpointBoardTest, ALostEndpointIsSuspendedUnlessAllAre) {
  EndpointBoard board;
  board.Apply(kNow, Entry("e", 1, 1));
  board.Apply(kNow, Entry("f", 1, 1));
  EndpointTicket ticket = SendOne(&board, "e");
  board.OnEnded(kNow, &ticket, EndpointOutcome::kUnreachable);
  ASSERT_EQ(board.Usable(kNow, "llm").size(), 1U);
  EXPECT_EQ(board.Usable(kNow, "llm")[0]->entry.id, "f");
  EndpointTicket other = SendOne(&board, "f");
  board.OnEnded(kNow, &other, EndpointOutcome::kUnreachable);
  EXPECT_EQ(board.Usable(kNow, "llm").size(), 2U);
  EXPECT_EQ(board.Usable(kNow + Millis(60000), "llm").size(), 2U);
}

}  // namespace
}  // namespace tamaracktrail
