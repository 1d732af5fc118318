#include "coordination/endpoint_registry.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "coordination/allowed_regions.h"
#include "coordination/endpoint_state.h"
#include "coordination/endpoint_ticket.h"
#include "state/endpoint_entry.h"

namespace tamaracktrail {
namespace {

constexpr Millis kNow{100000};

EndpointEntry Entry(const std::string& id,
                    int64_t start_unix_ms,
                    int64_t sequence) {
  EndpointEntry entry;
  entry.id = id;
  entry.service = "llm";
  entry.address = "10.0.0.1:80";
  entry.data_centre = "a";
  entry.start_unix_ms = start_unix_ms;
  entry.sequence = sequence;
  entry.slots = 8;
  return entry;
}

EndpointTicket SendOne(EndpointRegistry* registry, const std::string& id) {
  return registry->OnSent(kNow, *registry->Find(id, 1), 1000, Millis(50));
}

TEST(EndpointRegistryTest,
     DrainingEndpointGetsNoRequestsAndDoesNotBecomeUsableAgain) {
  EndpointRegistry registry;
  registry.Apply(kNow, Entry("e", 1, 1));
  EXPECT_EQ(registry.Usable(kNow, "llm").size(), 1U);
  EndpointEntry draining_entry = Entry("e", 1, 2);
  draining_entry.draining = true;
  registry.Apply(kNow, draining_entry);
  EXPECT_TRUE(registry.Usable(kNow, "llm").empty());
  registry.Apply(kNow, Entry("e", 1, 3));
  EXPECT_FALSE(registry.MayReceive(kNow, "e", 1));
}

// Guards against requests to an endpoint that leaves: its entry in the
// directory says so later, or never if the instance is disconnected from the
// store.
TEST(EndpointRegistryTest, LeavingEndpointGetsNothingWhateverTheDirectorySays) {
  EndpointRegistry registry;
  registry.Apply(kNow, Entry("e", 1, 1));
  const uint64_t leaving = registry.Find("e", 1)->incarnation_hash;
  EXPECT_TRUE(registry.notices().leaving().OnAnswer(kNow, leaving));
  EXPECT_EQ(registry.CountLeaving(), 1U);
  EXPECT_TRUE(registry.Usable(kNow, "llm").empty());
  EXPECT_FALSE(registry.RoomOf(kNow, "llm").all_restricted);
  registry.Apply(kNow, Entry("e", 1, 2));
  registry.ApplyFromPeer(kNow, Entry("e", 1, 3));
  EXPECT_FALSE(registry.MayReceive(kNow, "e", 1));
  // Removed and listed again.
  registry.Remove(kNow, "e", false);
  registry.Apply(kNow, Entry("e", 1, 4));
  ASSERT_NE(registry.Find("e", 1), nullptr);
  EXPECT_FALSE(registry.MayReceive(kNow, "e", 1));
}

TEST(EndpointRegistryTest, LeavingEndsWithTheIncarnation) {
  EndpointRegistry registry;
  registry.Apply(kNow, Entry("e", 1, 1));
  registry.notices().leaving().OnAnswer(
      kNow, registry.Find("e", 1)->incarnation_hash);
  // Another endpoint at the same address, and the same id started again.
  registry.Apply(kNow, Entry("f", 1, 1));
  EXPECT_TRUE(registry.MayReceive(kNow, "f", 1));
  registry.Apply(kNow, Entry("e", 2, 1));
  EXPECT_TRUE(registry.MayReceive(kNow, "e", 2));
}

// A report may arrive before the entry of the endpoint; it is repeated then.
TEST(EndpointRegistryTest, PeersReportThatAKnownEndpointLeaves) {
  EndpointRegistry told;
  EndpointRegistry peer;
  told.Apply(kNow, Entry("e", 1, 1));
  told.notices().leaving().OnAnswer(kNow, told.Find("e", 1)->incarnation_hash);
  const auto report = told.notices().leaving().MakeReport(kNow);
  ASSERT_EQ(report.size(), 1U);
  EXPECT_FALSE(peer.OnReportedLeaving(kNow, report[0]));
  peer.Apply(kNow, Entry("e", 1, 1));
  EXPECT_TRUE(peer.MayReceive(kNow, "e", 1));
  EXPECT_TRUE(peer.OnReportedLeaving(kNow, report[0]));
  EXPECT_FALSE(peer.OnReportedLeaving(kNow, report[0]));
  EXPECT_FALSE(peer.MayReceive(kNow, "e", 1));
  // A peer passes nothing on that it was not told itself.
  EXPECT_TRUE(peer.notices().leaving().MakeReport(kNow).empty());
}

// Guards against a cold time that is prolonged by reading an entry again, and
// against one of an older incarnation.
TEST(EndpointRegistryTest, ColdTimeFollowsTheNewestEntry) {
  EndpointRegistry registry;
  registry.notices().SetInstances({1}, 1);
  registry.notices().cold().SetServices(kNow, {{"llm", 2}});
  EndpointEntry cold_entry = Entry("e", 1, 1);
  cold_entry.cold_remaining = Millis(2000);
  registry.Apply(kNow, cold_entry);
  const uint64_t hash = registry.Find("e", 1)->incarnation_hash;
  EXPECT_TRUE(registry.RoomOf(kNow, "llm").all_restricted);
  registry.Apply(kNow + Millis(1900), cold_entry);
  registry.OnTick(kNow + Millis(2000));
  EXPECT_EQ(registry.notices().cold().size(), 0U);
  // Cold again, and then not.
  cold_entry.sequence = 2;
  registry.Apply(kNow + Millis(3000), cold_entry);
  EXPECT_EQ(registry.notices().cold().size(), 1U);
  registry.Apply(kNow + Millis(3100), Entry("e", 1, 3));
  EXPECT_EQ(registry.notices().cold().size(), 0U);
  EXPECT_TRUE(registry.notices().IsRestricted(kNow + Millis(3100), hash));
  registry.Apply(kNow + Millis(3200), Entry("e", 2, 1));
  EXPECT_FALSE(registry.RoomOf(kNow + Millis(3200), "llm").all_restricted);
}

TEST(EndpointRegistryTest, EndpointsOfEvacuatedDataCentreGetNoRequests) {
  EndpointRegistry registry;
  registry.Apply(kNow, Entry("e", 1, 1));
  EndpointEntry elsewhere = Entry("f", 1, 1);
  elsewhere.data_centre = "b";
  registry.Apply(kNow, elsewhere);
  EXPECT_EQ(registry.CountIn("a"), 1);
  registry.evacuated().OnRecord({0, 1}, "a", true);
  EXPECT_FALSE(registry.MayReceive(kNow, "e", 1));
  ASSERT_EQ(registry.Usable(kNow, "llm").size(), 1U);
  EXPECT_EQ(registry.Usable(kNow, "llm")[0]->entry.id, "f");
  // Suspended endpoints may receive requests if all are suspended, evacuated
  // ones must not.
  EndpointTicket ticket = SendOne(&registry, "f");
  registry.OnEnded(kNow, &ticket, EndpointOutcome::kUnreachable);
  ASSERT_EQ(registry.Usable(kNow, "llm").size(), 1U);
  registry.evacuated().OnRecord({0, 2}, "b", true);
  EXPECT_TRUE(registry.Usable(kNow, "llm").empty());
  // A new incarnation is in the same data centre.
  registry.Apply(kNow, Entry("e", 2, 1));
  EXPECT_FALSE(registry.MayReceive(kNow, "e", 2));
  registry.evacuated().OnRecord({0, 3}, "a", false);
  EXPECT_TRUE(registry.MayReceive(kNow, "e", 2));
}

// Guards against a service whose remaining endpoints have limits and that
// counts as unrestricted because of the evacuated ones.
TEST(EndpointRegistryTest, EvacuatedEndpointsLeaveNoRoom) {
  EndpointRegistry registry;
  registry.Apply(kNow, Entry("e", 1, 1));
  EndpointEntry elsewhere = Entry("f", 1, 1);
  elsewhere.data_centre = "b";
  registry.Apply(kNow, elsewhere);
  registry.notices().limits().OnAnswer(
      kNow, registry.Find("f", 1)->incarnation_hash, kNow, 10.0);
  EXPECT_FALSE(registry.RoomOf(kNow, "llm").all_restricted);
  registry.evacuated().OnRecord({0, 1}, "a", true);
  EXPECT_TRUE(registry.RoomOf(kNow, "llm").all_restricted);
}

TEST(EndpointRegistryTest, RequestsStayInTheirAllowedRegions) {
  using Regions = std::vector<std::string>;
  EndpointRegistry registry;
  registry.SetRegions({{"a", "east"}, {"b", "west"}});
  for (const char* it : {"a", "b", "unlisted"}) {
    EndpointEntry entry = Entry(it, 1, 1);
    entry.data_centre = it;
    registry.Apply(kNow, entry);
  }
  const auto ids = [&](const Regions& route, const Regions& organisation) {
    std::string joined;
    for (const EndpointState* it :
         registry.Usable(kNow, "llm", AllowedRegions(&route, &organisation))) {
      joined += it->entry.id + " ";
    }
    EXPECT_EQ(
        registry.HasAny(kNow, "llm", AllowedRegions(&route, &organisation)),
        !joined.empty());
    return joined;
  };
  EXPECT_EQ(ids({}, {}), "a b unlisted ");
  EXPECT_EQ(ids({"east"}, {}), "a ");
  EXPECT_EQ(ids({}, {"west"}), "b ");
  EXPECT_EQ(ids({"east", "west"}, {"west", "south"}), "b ");
  EXPECT_EQ(ids({"east"}, {"west"}), "");
  // An empty name is no region, although the data centre has none.
  EXPECT_EQ(ids({""}, {}), "");
  EXPECT_FALSE(registry.HasAny(kNow, "other"));
  // Guards against limits elsewhere that count for a request that may not be
  // sent there, and against room elsewhere.
  registry.notices().limits().OnAnswer(
      kNow, registry.Find("a", 1)->incarnation_hash, kNow, 10.0);
  const Regions east = {"east"};
  EXPECT_TRUE(registry.RoomOf(kNow, "llm", AllowedRegions(&east, nullptr))
                  .all_restricted);
  EXPECT_FALSE(registry.RoomOf(kNow, "llm").all_restricted);
}

TEST(EndpointRegistryTest, OlderEntriesAreIgnored) {
  EndpointRegistry registry;
  EndpointEntry draining_entry = Entry("e", 2, 5);
  draining_entry.draining = true;
  registry.Apply(kNow, draining_entry);
  registry.Apply(kNow, Entry("e", 2, 4));
  registry.Apply(kNow, Entry("e", 1, 9));
  EXPECT_TRUE(registry.Usable(kNow, "llm").empty());
  registry.Apply(kNow, Entry("e", 3, 1));
  EXPECT_TRUE(registry.MayReceive(kNow, "e", 3));
}

// Guards against a removed endpoint that is restored from a peer's older copy.
// In a fleet of 73 instances, one that reconnects after a network cut receives
// a removal, and 25 ms later a peer sends it the entry from before the removal.
TEST(EndpointRegistryTest, PeersCopyDoesNotRestoreARemovedEndpoint) {
  EndpointRegistry registry;
  registry.Apply(kNow, Entry("e", 1, 5));
  registry.Remove(kNow, "e", true);
  EXPECT_FALSE(registry.ApplyFromPeer(kNow + Millis(25), Entry("e", 1, 7)));
  EXPECT_FALSE(registry.MayReceive(kNow + Millis(2000), "e", 1));
  // The store lists it again.
  registry.Apply(kNow + Millis(2100), Entry("e", 1, 8));
  EXPECT_TRUE(registry.MayReceive(kNow + Millis(2200), "e", 1));
  registry.Remove(kNow + Millis(2250), "e", false);
  EXPECT_FALSE(registry.ApplyFromPeer(kNow + Millis(2260), Entry("e", 1, 9)));
  EXPECT_FALSE(registry.MayReceive(kNow + Millis(2270), "e", 1));
  // An endpoint that was not removed is accepted from a peer.
  EXPECT_TRUE(registry.ApplyFromPeer(kNow + Millis(2300), Entry("f", 1, 1)));
  EXPECT_TRUE(registry.MayReceive(kNow + Millis(2300), "f", 1));
}

TEST(EndpointRegistryTest, OnlyANewerEntryRestoresARemovedEndpoint) {
  EndpointRegistry registry;
  registry.Apply(kNow, Entry("e", 1, 5));
  registry.Remove(kNow, "e", false);
  registry.Apply(kNow, Entry("e", 1, 5));
  EXPECT_FALSE(registry.MayReceive(kNow, "e", 1));
  registry.Apply(kNow, Entry("e", 1, 6));
  EXPECT_TRUE(registry.MayReceive(kNow, "e", 1));
}

struct RemovalCase {
  const char* name;
  bool store_in_doubt;
  bool draining;
  int64_t after_ms;
  bool usable;
};

class RemovalTest : public testing::TestWithParam<RemovalCase> {};

TEST_P(RemovalTest, MissingEndpointIsUsableBrieflyIfTheStoreIsInDoubt) {
  const RemovalCase& it = GetParam();
  EndpointRegistry registry;
  EndpointEntry entry = Entry("e", 1, 1);
  entry.draining = it.draining;
  registry.Apply(kNow, entry);
  registry.Remove(kNow, "e", it.store_in_doubt);
  EXPECT_EQ(registry.MayReceive(kNow + Millis(it.after_ms), "e", 1), it.usable);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RemovalTest,
    testing::Values(RemovalCase{"store_reliable", false, false, 0, false},
                    RemovalCase{"store_in_doubt", true, false, 500, true},
                    RemovalCase{"after_the_grace_time", true, false, 2000,
                                false},
                    RemovalCase{"draining", true, true, 0, false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(EndpointRegistryTest, ListingRemovesEndpointsThatItDoesNotContain) {
  EndpointRegistry registry;
  registry.Apply(kNow, Entry("e", 1, 1));
  registry.Apply(kNow, Entry("f", 1, 1));
  registry.KeepOnly(kNow, {"f"}, false);
  EXPECT_FALSE(registry.MayReceive(kNow, "e", 1));
  EXPECT_TRUE(registry.MayReceive(kNow, "f", 1));
}

TEST(EndpointRegistryTest, PromptLoadEndsAtTheFirstByteAndOpenLoadAtTheEnd) {
  EndpointRegistry registry;
  registry.Apply(kNow, Entry("e", 1, 1));
  EndpointTicket ticket = SendOne(&registry, "e");
  EXPECT_EQ(registry.Find("e", 1)->uncached_tokens(), 1000);
  EXPECT_EQ(registry.Find("e", 1)->open(), 1);
  registry.OnFirstByte(kNow + Millis(50), &ticket);
  EXPECT_EQ(registry.Find("e", 1)->uncached_tokens(), 0);
  registry.OnEnded(kNow + Millis(90), &ticket, EndpointOutcome::kAnswered);
  EXPECT_EQ(registry.Find("e", 1)->open(), 0);
  EXPECT_TRUE(registry.OwnLoad().empty());
}

TEST(EndpointRegistryTest, NewPeerReportReplacesTheOldOneAndExpires) {
  EndpointRegistry registry;
  registry.Apply(kNow, Entry("e", 1, 1));
  const uint64_t hash = registry.Find("e", 1)->incarnation_hash;
  registry.SetPeerLoad(kNow, 7, {{hash, {500, 2}}, {12345, {9, 9}}});
  registry.SetPeerLoad(kNow, 7, {{hash, {300, 1}}});
  registry.SetPeerLoad(kNow, 8, {{hash, {100, 1}}});
  EXPECT_EQ(registry.Find("e", 1)->uncached_tokens(), 400);
  registry.OnTick(kNow + Millis(10000));
  EXPECT_EQ(registry.Find("e", 1)->uncached_tokens(), 0);
}

TEST(EndpointRegistryTest, UnreachableEndpointIsSuspendedUnlessAllAre) {
  EndpointRegistry registry;
  registry.Apply(kNow, Entry("e", 1, 1));
  registry.Apply(kNow, Entry("f", 1, 1));
  EndpointTicket ticket = SendOne(&registry, "e");
  registry.OnEnded(kNow, &ticket, EndpointOutcome::kUnreachable);
  ASSERT_EQ(registry.Usable(kNow, "llm").size(), 1U);
  EXPECT_EQ(registry.Usable(kNow, "llm")[0]->entry.id, "f");
  EndpointTicket other = SendOne(&registry, "f");
  registry.OnEnded(kNow, &other, EndpointOutcome::kUnreachable);
  EXPECT_EQ(registry.Usable(kNow, "llm").size(), 2U);
  EXPECT_EQ(registry.Usable(kNow + Millis(60000), "llm").size(), 2U);
}

}  // namespace
}  // namespace tamaracktrail
