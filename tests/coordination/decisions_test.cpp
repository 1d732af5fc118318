#include <gtest/gtest.h>

#include "coordination/admission_queue.h"
#include "coordination/charge_custody.h"
#include "coordination/endpoint_choice.h"
#include "coordination/endpoint_table.h"
#include "coordination/exit_sweep.h"
#include "coordination/log_writer.h"
#include "coordination/membership.h"
#include "coordination/placer.h"
#include "coordination/rendezvous.h"
#include "state/batch_codec.h"

namespace tamaracktrail {
namespace {

// Membership.

Heartbeat HeartbeatFrom(uint64_t incarnation,
                        uint64_t sequence,
                        uint64_t echo_of,
                        Millis echo) {
  Heartbeat it;
  it.from = {"10.0.0.2:1", incarnation};
  it.data_centre = "dc";
  it.sequence = sequence;
  it.echoed_incarnation = echo_of;
  it.echoed_sent_at = echo;
  return it;
}

TEST(MembershipTest, PeerIsLiveOnlyWithARecentEcho) {
  Membership it({"10.0.0.1:1", 1}, "dc", {});
  std::optional<uint64_t> replaced;
  const Millis now{10000};
  EXPECT_TRUE(it.OnHeartbeat(now, HeartbeatFrom(2, 1, 0, Millis()), replaced));
  EXPECT_TRUE(it.LivePeers(now).empty());
  EXPECT_TRUE(
      it.OnHeartbeat(now, HeartbeatFrom(2, 2, 1, Millis(9900)), replaced));
  EXPECT_EQ(it.LivePeers(now).size(), 1u);
  EXPECT_TRUE(it.LivePeers(now + kSecond * 3).empty());
}

TEST(MembershipTest, UnresponsivePeerIsSuspectedAndExitsOnlyWhenReplaced) {
  Membership it({"10.0.0.1:1", 1}, "dc", {});
  std::optional<uint64_t> replaced;
  it.OnHeartbeat(Millis(1), HeartbeatFrom(2, 1, 1, Millis(1)), replaced);
  const Millis later = kHour;
  EXPECT_EQ(it.Suspected(later), std::vector<uint64_t>{2});
  EXPECT_FALSE(it.Exited(2));
  it.OnHeartbeat(later, HeartbeatFrom(3, 1, 0, Millis()), replaced);
  EXPECT_EQ(replaced, 2u);
  EXPECT_TRUE(it.Exited(2));
  EXPECT_FALSE(it.OnHeartbeat(later, HeartbeatFrom(2, 9, 1, later), replaced));
}

TEST(MembershipTest, SeedsExcludeSelfAndTheirRemovalKeepsLivePeers) {
  Membership it({"10.0.0.1:1", 1}, "dc", {});
  it.SetSeeds({"10.0.0.1:1", "10.0.0.3:1"});
  EXPECT_EQ(it.TakeDueAddresses(Millis(1)),
            std::vector<std::string>{"10.0.0.3:1"});
  std::optional<uint64_t> replaced;
  it.OnHeartbeat(Millis(1000), HeartbeatFrom(2, 1, 1, Millis(900)), replaced);
  it.SetSeeds({});
  EXPECT_EQ(it.LivePeers(Millis(1000)).size(), 1u);
}

TEST(MembershipTest, ClockOffsetIsTheLargestBoundReducedByDrift) {
  Membership it({"10.0.0.1:1", 1}, "dc", {});
  std::optional<uint64_t> replaced;
  Heartbeat loose = HeartbeatFrom(2, 1, 1, Millis(1000));
  // Sent 900 ms after the peer received the heartbeat that it echoes.
  loose.sent_at = Millis(500900);
  it.OnHeartbeat(Millis(1901), loose, replaced);
  Heartbeat tight = HeartbeatFrom(2, 2, 1, Millis(2000));
  tight.sent_at = Millis(501010);
  it.OnHeartbeat(Millis(2011), tight, replaced);
  const Membership::Peer& peer = *it.ByIncarnation(2);
  EXPECT_EQ(Membership::EarliestLocalTime(peer, Millis(501010)), Millis(2000));
  loose.sequence = 3;
  loose.echoed_sent_at = Millis(3000);
  loose.sent_at = Millis(502900);
  it.OnHeartbeat(Millis(3901), loose, replaced);
  // 502900 plus the bound of `tight`, 2000 - 501010, is 3890; the drift
  // allowance is 1 ms.
  EXPECT_EQ(Membership::EarliestLocalTime(peer, Millis(502900)), Millis(3889));
}

TEST(MembershipTest, SuspicionTimeoutGrowsWithTheNumberOfPeers) {
  Membership it({"10.0.0.1:1", 1}, "dc", {});
  std::vector<std::string> seeds;
  for (int i = 2; i < 58; ++i) {
    seeds.push_back("10.0.0." + std::to_string(i) + ":1");
  }
  it.SetSeeds(seeds);
  std::optional<uint64_t> replaced;
  it.OnHeartbeat(Millis(10000), HeartbeatFrom(2, 1, 1, Millis(9000)), replaced);
  // With 56 peers the heartbeat period is 56 * 20 ms, and the suspicion timeout
  // is 4 periods, 4480 ms, instead of 2000 ms.
  EXPECT_EQ(it.LivePeers(Millis(12500)).size(), 1u);
}

TEST(RendezvousTest, AssignGivesNoCandidateMoreThanAnEvenPart) {
  std::vector<std::string> keys;
  for (int i = 0; i < 64; ++i) {
    keys.push_back("ledger-" + std::to_string(i));
  }
  for (const uint64_t n : {1, 2, 3, 56, 100}) {
    std::vector<uint64_t> candidates;
    for (uint64_t i = 1; i <= n; ++i) {
      candidates.push_back(i * 7919);
    }
    std::map<uint64_t, size_t> counts;
    for (const uint64_t it : RendezvousAssign(keys, candidates)) {
      ++counts[it];
    }
    for (const auto& [candidate, count] : counts) {
      EXPECT_LE(count, (64 + n - 1) / n);
    }
  }
  EXPECT_TRUE(RendezvousAssign(keys, {}).empty());
}

// Exit sweeps.

TEST(ExitSweepTest, CompletesAfterAllReportsWithTheLargestAmountPerAttempt) {
  ExitSweep it;
  const std::vector<uint64_t> members{2, 3};
  it.Start(9);
  it.OnReport({9, 2, {{"org", 7, 40}}, {}});
  EXPECT_TRUE(it.TakeCompletedSweeps(members).empty());
  it.OnReport({9, 3, {{"org", 7, 100}}, {}});
  const auto complete = it.TakeCompletedSweeps(members);
  ASSERT_EQ(complete.size(), 1u);
  EXPECT_EQ(complete[0].kept, (std::vector<KeptShare>{{"org", 7, 100}}));
}

// Charge custody.

SettleRequest MakeSettleRequest(uint64_t holder) {
  SettleRequest it;
  it.charge.organisation = "org";
  it.charge.key = "k";
  it.charge.holder = holder;
  it.charge.entry = 1;
  it.charge.attempt = 9;
  it.reserved = 100;
  return it;
}

TEST(ChargeCustodyTest, ChargeIsSafeOnlyOnceAnotherInstanceHoldsIt) {
  ChargeCustody it(1, {});
  Outbox outbox;
  const std::vector<uint64_t> peers{2, 3};
  it.Settle(Millis(0), MakeSettleRequest(1), peers, outbox);
  ASSERT_EQ(outbox.messages.size(), 1u);
  EXPECT_NE(outbox.messages[0].to, 1u);
  EXPECT_TRUE(it.TakeSettleResults().empty());
  it.OnHeldElsewhere(9);
  const auto settled = it.TakeSettleResults();
  ASSERT_EQ(settled.size(), 1u);
  EXPECT_EQ(settled[0].safety, ChargeCustody::Safety::kSafe);
}

TEST(ChargeCustodyTest, ChargeIsVoidedAfterTheTimeoutWithoutPeersAndLog) {
  ChargeCustody it(1, {});
  Outbox outbox;
  it.Settle(Millis(0), MakeSettleRequest(7), {}, outbox);
  it.OnTick(Millis(1), {}, outbox);
  ASSERT_EQ(outbox.records.size(), 1u);  // The charge.
  it.OnTick(kSecond * 5, {}, outbox);
  const auto settled = it.TakeSettleResults();
  ASSERT_EQ(settled.size(), 1u);
  EXPECT_EQ(settled[0].safety, ChargeCustody::Safety::kNotSafe);
  EXPECT_TRUE(std::holds_alternative<Void>(outbox.records.back()));
}

// Log writer.

TEST(LogWriterTest, RepeatsTheSameBytesUntilReadBack) {
  const BatchCodec codec("a key for tests");
  LogWriter it(5, &codec, {});
  const uint64_t ticket = it.Add(ShareRequest{"org", 1, 1});
  const auto first = it.NextAppend(Millis(0), Millis(0));
  ASSERT_TRUE(first.has_value());
  EXPECT_FALSE(it.NextAppend(kHour, Millis(0)).has_value());
  it.OnAppended(Millis(0), false);
  it.Add(ShareRequest{"org", 1, 2});
  EXPECT_EQ(it.NextAppend(kHour, Millis(0)), first);
  EXPECT_FALSE(it.Confirmed(ticket));
  it.OnReadBack(1);
  EXPECT_TRUE(it.Confirmed(ticket));
  EXPECT_EQ(it.backlog(), 1u);
}

// Endpoints.

class EndpointTableTest : public testing::Test {
 protected:
  EndpointTableTest() : table_("dc", {}) {
    table_.SetSpecs({{"a", "", "s", "dc", 10, true},
                     {"b", "", "s", "dc", 10, true},
                     {"far", "", "s", "other", 10, true}});
  }

  void Observe(const char* name,
               EndpointHealth health,
               Millis at,
               int load = 0) {
    table_.Observe({name, health, load, "", {}, at});
  }

  size_t Count(Millis now) const { return table_.Candidates(now, "s").size(); }

  EndpointTable table_;
};

TEST_F(EndpointTableTest, EndpointWithStaleObservationIsNoCandidate) {
  Observe("a", EndpointHealth::kUp, Millis(1000));
  EXPECT_EQ(Count(Millis(2000)), 1u);
  EXPECT_EQ(Count(Millis(3000)), 0u);
}

TEST_F(EndpointTableTest,
       DrainingEndpointStaysExcludedDespiteAnOlderObservation) {
  Observe("a", EndpointHealth::kDraining, Millis(1000));
  Observe("a", EndpointHealth::kUp, Millis(900));
  EXPECT_EQ(Count(Millis(1001)), 0u);
}

TEST_F(EndpointTableTest, ObservationsBeforeTheForgottenTimeAreIgnored) {
  Observe("a", EndpointHealth::kUp, Millis(1000));
  table_.ForgetBefore(Millis(1100));
  EXPECT_EQ(Count(Millis(1101)), 0u);
}

TEST_F(EndpointTableTest, OtherDataCentresAreUsedOnlyWithoutLocalCandidates) {
  Observe("a", EndpointHealth::kUp, Millis(1000));
  Observe("far", EndpointHealth::kUp, Millis(1000));
  EXPECT_TRUE(table_.Candidates(Millis(1001), "s")[0].local);
  Observe("a", EndpointHealth::kDown, Millis(1002));
  EXPECT_FALSE(table_.Candidates(Millis(1003), "s")[0].local);
}

TEST_F(EndpointTableTest, AtMostHalfOfAServicesEndpointsAreEjected) {
  Observe("a", EndpointHealth::kUp, Millis(1000));
  Observe("b", EndpointHealth::kUp, Millis(1000));
  for (const char* name : {"a", "b"}) {
    for (int i = 0; i < 3; ++i) {
      table_.OnDispatch(Millis(1001), name);
      table_.OnFinish(Millis(1001), name, Millis(1001),
                      EndpointTable::Finish::kFailed);
    }
  }
  EXPECT_EQ(Count(Millis(1002)), 1u);
}

// Guards against an endpoint that refuses at once drawing all calls.
TEST_F(EndpointTableTest, EndpointThatAskedToWaitIsNoCandidateUntilThen) {
  Observe("a", EndpointHealth::kUp, Millis(1000));
  Observe("b", EndpointHealth::kUp, Millis(1000));
  EXPECT_TRUE(table_.OnAskedToWait(Millis(1001), "a", Millis(500), 0.9));
  ASSERT_EQ(Count(Millis(1500)), 1u);
  EXPECT_EQ(table_.Candidates(Millis(1500), "s", true)[0].name, "b");
  EXPECT_TRUE(table_.Usable(Millis(1500), "a"));
  EXPECT_EQ(Count(Millis(1700)), 2u);
  EXPECT_FALSE(table_.OnAskedToWait(Millis(1700), "unknown", Millis(500), 0));
}

TEST_F(EndpointTableTest, RecoveredEndpointStartsWithReducedCapacity) {
  Observe("a", EndpointHealth::kDown, Millis(1000));
  Observe("a", EndpointHealth::kUp, Millis(2000));
  EXPECT_EQ(table_.FreeSlots(Millis(2001), "s"), 1);
  Observe("a", EndpointHealth::kUp, Millis(20000));
  EXPECT_EQ(table_.FreeSlots(Millis(20001), "s"), 10);
}

TEST_F(EndpointTableTest, DispatchesSinceTheLoadReportCountForEachSender) {
  Observe("a", EndpointHealth::kUp, Millis(1000), 2);
  table_.SetInstanceCount(4);
  table_.OnDispatch(Millis(1001), "a");
  // (2 reported + 1 dispatch by each of 4 instances) / capacity 10.
  EXPECT_DOUBLE_EQ(table_.Candidates(Millis(1002), "s")[0].load, 0.6);
}

// Guards against counting ended requests for the other senders: short requests
// made an idle endpoint appear full in tools/overhead.sh.
TEST_F(EndpointTableTest, EndedRequestsAddNoLoad) {
  Observe("a", EndpointHealth::kUp, Millis(1000));
  table_.SetInstanceCount(4);
  for (int i = 0; i < 100; ++i) {
    table_.OnDispatch(Millis(1001), "a");
    table_.OnFinish(Millis(1002), "a", Millis(1001),
                    EndpointTable::Finish::kOk);
  }
  EXPECT_DOUBLE_EQ(table_.Candidates(Millis(1003), "s")[0].load, 0);
}

TEST(AffinityChoiceTest, SamePrefixKeepsItsEndpointUntilItIsLoaded) {
  std::vector<EndpointCandidate> candidates;
  for (int i = 0; i < 8; ++i) {
    candidates.push_back({"e" + std::to_string(i), 0.2, true});
  }
  Random random(1);
  const AffinityChoice choice;
  const size_t first = choice.Pick(candidates, "prefix", random);
  EXPECT_EQ(choice.Pick(candidates, "prefix", random), first);
  candidates[first].load = 1.4;
  EXPECT_NE(choice.Pick(candidates, "prefix", random), first);
}

// Admission queue.

AdmissionQueue::Item QueuedItem(uint64_t id,
                                const char* organisation,
                                int priority,
                                Millis enqueued_at = Millis(0)) {
  return {id, "s",         organisation,         priority,
          10, enqueued_at, enqueued_at + kMinute};
}

TEST(AdmissionQueueTest, OrganisationsAreServedFairlyWithinAPriority) {
  AdmissionQueue queue({});
  for (uint64_t i = 0; i < 10; ++i) {
    queue.Push(QueuedItem(i, "large", 5));
  }
  queue.Push(QueuedItem(100, "small", 5));
  queue.Pop(Millis(1), "s");
  EXPECT_EQ(queue.Pop(Millis(1), "s")->id, 100u);
}

TEST(AdmissionQueueTest, AgingRaisesALowPriority) {
  AdmissionQueue queue({});
  queue.Push(QueuedItem(1, "a", 9, Millis(0)));
  queue.Push(QueuedItem(2, "b", 0, Millis(19000)));
  EXPECT_EQ(queue.Pop(Millis(19000), "s")->id, 1u);
}

TEST(AdmissionQueueTest, FullQueueRefusesAndExpiredItemsAreRemoved) {
  AdmissionQueue queue({.max_length = 2, .max_per_organisation = 1});
  EXPECT_TRUE(queue.Push(QueuedItem(1, "a", 5)));
  EXPECT_FALSE(queue.Push(QueuedItem(2, "a", 5)));
  EXPECT_TRUE(queue.Push(QueuedItem(3, "b", 5)));
  EXPECT_FALSE(queue.Push(QueuedItem(4, "c", 5)));
  EXPECT_EQ(queue.TakeExpired(kMinute).size(), 2u);
}

// Placement.

class PlacerTest : public testing::Test {
 protected:
  std::vector<Order> Decide(Millis now) {
    return placer_.Decide(now, {{"p", "s", "dc", "m", 1, 2}}, endpoints_,
                          demand_);
  }

  Placer placer_{"dc", {}};
  std::vector<Placer::EndpointState> endpoints_{{"a", "s", {}, true, true, 0},
                                                {"b", "s", {}, true, true, 0}};
  std::map<std::string, int> demand_;
};

TEST_F(PlacerTest, OrdersNeedATermAndAreIssuedOneAtATime) {
  EXPECT_TRUE(Decide(Millis(0)).empty());
  placer_.SetTerm(Millis(0), 5);
  const auto orders = Decide(Millis(1));
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].fencing_number, 5u);
  EXPECT_TRUE(placer_.MaySend(orders[0]));
  EXPECT_TRUE(Decide(Millis(2)).empty());
  placer_.SetTerm(Millis(3), 6);
  EXPECT_FALSE(placer_.MaySend(orders[0]));
}

TEST_F(PlacerTest, LastCopyAndEndpointsWithOpenRequestsAreNotUnloaded) {
  placer_.SetTerm(Millis(0), 5);
  endpoints_[0].loaded = {"m"};
  EXPECT_TRUE(Decide(Millis(1)).empty());
  endpoints_[1].loaded = {"m"};
  ASSERT_EQ(Decide(Millis(2)).size(), 1u);
  placer_.SetTerm(Millis(3), 6);
  endpoints_[0].in_flight = endpoints_[1].in_flight = 1;
  EXPECT_TRUE(Decide(Millis(4)).empty());
}

TEST_F(PlacerTest, WithoutFencingFirstOrderWaitsAndTheSpareCopyStays) {
  for (auto& it : endpoints_) {
    it.checks_fencing = false;
  }
  placer_.SetTerm(Millis(0), 5);
  EXPECT_TRUE(Decide(Millis(1)).empty());
  EXPECT_EQ(Decide(kSecond * 6).size(), 1u);
  endpoints_[0].loaded = endpoints_[1].loaded = {"m"};
  EXPECT_TRUE(Decide(kMinute).empty());
}

}  // namespace
}  // namespace tamaracktrail
