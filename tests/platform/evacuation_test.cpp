#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "coordination/evacuation_set.h"
#include "platform/evacuation_codec.h"
#include "platform/front_fixture.h"
#include "platform/wire_names.h"
#include "support/caller.h"
#include "support/loopback.h"
#include "support/sample_config.h"
#include "support/stand_in_endpoint.h"
#include "support/stand_in_store.h"
#include "transport/event_log.h"
#include "transport/event_loop.h"
#include "transport/metrics.h"
#include "transport/peer_exchange.h"
#include "transport/peer_gossip.h"
#include "transport/socket_address.h"

namespace tamaracktrail {
namespace {

using nlohmann::json;

//! Endpoint "a" is in the data centre "away", "b" in "dc-1". The instance is in
//! "away" too, so it prefers "a".
class EvacuationTest : public FrontTest {
 protected:
  EvacuationTest() {
    settings_.data_centre = "away";
    PutIn(a_, "app", 2, "away");
  }

  void PutIn(const StandInEndpoint& endpoint,
             const std::string& service,
             int64_t sequence,
             const std::string& data_centre) {
    json entry = json::parse(endpoint.DirectoryEntry(service, sequence, false));
    entry["zone"] = data_centre;
    store_.Put(platform::kEndpointTopic, endpoint.id(), entry.dump());
  }

  void UseAsDistantEngines() {
    PutIn(a_, "llm", 3, "away");
    PutIn(b_, "llm", 3, "dc-1");
  }

  //! Requests an evacuation, or withdraws it with an empty `value`.
  void PutEvacuation(const std::string& data_centre,
                     const std::string& value = "{}") {
    store_.Put(platform::kOperatorTopic,
               absl::StrCat(platform::kEvacuationKeyPrefix, data_centre),
               value);
  }

  //! Calls `then` once the instance reports that `n` data centres are
  //! evacuated.
  void AwaitEvacuated(int n,
                      const std::function<void()>& then,
                      int max_tries = 250) {
    if (max_tries == 0) {
      ADD_FAILURE() << n << " evacuations were not known in time";
      Stop();
      return;
    }
    Caller* caller = SendTo(settings_.metrics_address,
                            "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    AwaitOver(caller, [=, this] {
      if (absl::StrContains(
              caller->answer().body(),
              absl::StrCat("\nevacuated_data_centres ", n, "\n"))) {
        then();
        return;
      }
      loop_.After(Millis(20),
                  [=, this] { AwaitEvacuated(n, then, max_tries - 1); });
    });
  }

  //! Sends `n` requests, one after the other, so that connections are reused.
  void SendSeries(int n, const std::function<void()>& then) {
    if (n == 0) {
      then();
      return;
    }
    Caller* caller =
        Send(SampleRequest("safe", absl::StrCat("s-", callers_.size())));
    AwaitOver(caller, [=, this] {
      last_status_ = caller->status();
      SendSeries(n - 1, then);
    });
  }

  size_t RunAway() const { return a_.arrivals().size(); }

  int last_status_ = 0;
  size_t away_before_ = 0;
};

//! Enough requests that the preferred endpoint gets some.
constexpr int kSeries = 20;

TEST_F(EvacuationTest, EndpointsThereGetNothingUntilItIsWithdrawn) {
  size_t away_after = 0;
  Run([&] {
    SendSeries(kSeries, [&] {
      EXPECT_GT(RunAway(), 0U);
      PutEvacuation("away");
      AwaitEvacuated(1, [&] {
        away_before_ = RunAway();
        SendSeries(kSeries, [&] {
          away_after = RunAway();
          EXPECT_EQ(last_status_, 200);
          PutEvacuation("away", "");
          AwaitEvacuated(0, [&] { SendSeries(kSeries, [] { Stop(); }); });
        });
      });
    });
  });
  EXPECT_EQ(away_after, away_before_);
  EXPECT_GT(RunAway(), away_after);
}

TEST_F(EvacuationTest, OfAllDataCentresRefusesRequestsAtOnce) {
  Caller* refused = nullptr;
  Millis sent_at;
  Millis refused_at;
  Run([&] {
    PutEvacuation("away");
    PutEvacuation("dc-1");
    AwaitEvacuated(2, [&] {
      sent_at = loop_.Now();
      refused = Send(SampleRequest("safe", "id-1"));
      AwaitOver(refused, [&] {
        refused_at = loop_.Now();
        Stop();
      });
    });
  });
  EXPECT_EQ(refused->status(), 503);
  EXPECT_EQ(refused->answer().fields().Count("Retry-After"), 1U);
  EXPECT_LT(refused_at - sent_at, Millis(500));
  EXPECT_TRUE(a_.arrivals().empty() && b_.arrivals().empty());
}

TEST_F(EvacuationTest, OfUnknownDataCentreHasNoEffect) {
  Run([&] {
    PutEvacuation("nowhere");
    // An empty name is no data centre either.
    PutEvacuation("");
    AwaitEvacuated(2, [&] { SendSeries(kSeries, [] { Stop(); }); });
  });
  EXPECT_EQ(last_status_, 200);
  EXPECT_GT(RunAway(), 0U);
}

TEST_F(EvacuationTest, RequestedTwiceIsWithdrawnOnce) {
  Run([&] {
    PutEvacuation("away");
    PutEvacuation("away", "{\"again\":true}");
    PutEvacuation("other");
    AwaitEvacuated(2, [&] {
      PutEvacuation("away", "");
      AwaitEvacuated(1, [&] { SendSeries(kSeries, [] { Stop(); }); });
    });
  });
  EXPECT_GT(RunAway(), 0U);
}

TEST_F(EvacuationTest, WithdrawnAtOnceHasNoLastingEffect) {
  Run([&] {
    PutEvacuation("away");
    PutEvacuation("away", "");
    PutEvacuation("other");
    AwaitEvacuated(1, [&] { SendSeries(kSeries, [] { Stop(); }); });
  });
  EXPECT_GT(RunAway(), 0U);
}

TEST_F(EvacuationTest, OpenStreamThereContinuesToItsEnd) {
  UseAsDistantEngines();
  a_.behaviour().events = 40;
  a_.behaviour().event_interval = Millis(20);
  store_.Put(platform::kEndpointTopic, "b", "");
  Caller* caller = nullptr;
  Run([&] {
    caller = Send(SampleRequest("report", "id-1"));
    Await([&] { return caller->status() == 200; },
          [&] {
            PutEvacuation("away");
            AwaitEvacuated(1, [&] {
              EXPECT_FALSE(caller->finished());
              AwaitOver(caller, [] { Stop(); });
            });
          });
  });
  ASSERT_TRUE(caller->complete());
  EXPECT_TRUE(absl::StrContains(caller->answer().body(), "id: 40\n"));
}

// Guards against a stream that breaks off elsewhere and is resumed at an
// endpoint of the evacuated data centre, and against a retry there.
TEST_F(EvacuationTest, NeitherStreamsNorRetriesGoThere) {
  UseAsDistantEngines();
  b_.behaviour().abort_after = 2;
  Caller* stream = nullptr;
  Run([&] {
    PutEvacuation("away");
    AwaitEvacuated(1, [&] {
      stream = Send(SampleRequest("ask", "id-1"));
      AwaitOver(stream, [&] {
        b_.behaviour().refuse = true;
        AwaitOver(Send(SampleRequest("ask", "id-2")), [] { Stop(); });
      });
    });
  });
  EXPECT_FALSE(stream->complete());
  EXPECT_EQ(RunAway(), 0U);
  EXPECT_EQ(b_.arrivals().size(), 2U);
}

// Guards against requests that are admitted after a start with a configuration
// and without the evacuations: they are on different pages of the listing.
TEST_F(EvacuationTest, IsKnownBeforeTheFirstRequestAfterARestart) {
  PutEvacuation("away");
  store_.SetPageSize(1);
  store_.faults().delay = Millis(60);
  Run([&] { SendSeries(kSeries, [] { Stop(); }); });
  EXPECT_EQ(last_status_, 200);
  EXPECT_EQ(RunAway(), 0U);
}

TEST_F(EvacuationTest, RequestsDuringTheStartDoNotGoThere) {
  PutEvacuation("away");
  store_.SetPageSize(1);
  store_.faults().delay = Millis(60);
  std::function<void()> send_again = [&] {
    SendSeries(1, [&] {
      if (last_status_ != 200 && callers_.size() < 1000) {
        loop_.After(Millis(5), send_again);
      }
    });
  };
  // The instance listens from its start on, before it is ready.
  loop_.After(Millis(20), send_again);
  Run([&] { SendSeries(kSeries, [] { Stop(); }); });
  EXPECT_EQ(RunAway(), 0U);
}

TEST_F(EvacuationTest, ListingThatLacksItWithdrawsIt) {
  Run([&] {
    PutEvacuation("away");
    AwaitEvacuated(1, [&] {
      // The instance cannot read the record that deletes the other one.
      PutEvacuation("away", "");
      store_.Compact(platform::kOperatorTopic);
      AwaitEvacuated(0, [&] { SendSeries(kSeries, [] { Stop(); }); });
    });
  });
  EXPECT_GT(RunAway(), 0U);
}

// The operator writes its records again, but not at once.
TEST_F(EvacuationTest, StoreRestoredFromOlderCopyDoesNotEndItAtOnce) {
  Run([&] {
    const auto copy = store_.MakeCopy();
    PutEvacuation("away");
    AwaitEvacuated(1, [&, copy] {
      away_before_ = RunAway();
      store_.Restore(*copy, false);
      // A newer configuration shows that the copy was read.
      PutConfig(9, 1000000);
      AwaitRoute("version-9", [&] { SendSeries(kSeries, [] { Stop(); }); });
    });
  });
  EXPECT_EQ(RunAway(), away_before_);
}

//! A peer that reports and serves a set of evacuations.
class EvacuationPeer {
 public:
  EvacuationPeer(EventLoop* loop, const std::string& recipient)
      : loop_(loop),
        log_(loop, STDOUT_FILENO),
        address_(FreeAddress()),
        exchange_(loop, &log_, &metrics_, *ListenTcp(address_), Hooks()),
        gossip_(
            loop,
            *BindUdp(address_),
            [](const PeerGossip::Report&) {},
            [](const LendingMessage&) {}) {
    gossip_.SetPeers({recipient});
    report_.incarnation = 1;
    report_.directory_age_ms = 100000;
    report_.address = address_;
  }
  ~EvacuationPeer() { loop_->Cancel(&timer_); }

  //! Reports `reported` now and every 50 ms from now on, and serves `served`.
  void Start(const EvacuationSet& reported, const EvacuationSet& served) {
    report_.evacuations_as_of = reported.as_of;
    report_.evacuations_digest = reported.digest();
    served_set_ = served;
    SendReports();
  }

  int served() const { return served_; }

 private:
  void SendReports() {
    gossip_.Send(report_);
    timer_ = loop_->After(Millis(50), [this] { SendReports(); });
  }

  PeerExchange::Hooks Hooks() {
    PeerExchange::Hooks hooks;
    hooks.evacuations = [this] {
      ++served_;
      return PeerExchange::Records{{platform::kEvacuationSetKey,
                                    platform::EncodeEvacuations(served_set_)}};
    };
    return hooks;
  }

  EventLoop* loop_;
  EventLog log_;
  Metrics metrics_;
  std::string address_;
  PeerExchange exchange_;
  PeerGossip gossip_;
  PeerGossip::Report report_;
  EvacuationSet served_set_;
  int served_ = 0;
  EventLoop::TimerId timer_{};
};

//! Higher than all positions in the tests' stores.
constexpr TopicPosition kNewer{1, 1000};

TEST_F(EvacuationTest, IsTakenFromPeerWhileStoreHangs) {
  EvacuationPeer peer(&loop_, settings_.peers_address);
  Millis reported_at;
  Millis known_at;
  Run([&] {
    store_.faults().unresponsive = true;
    reported_at = loop_.Now();
    peer.Start({kNewer, {"away"}}, {kNewer, {"away"}});
    AwaitEvacuated(1, [&] {
      known_at = loop_.Now();
      away_before_ = RunAway();
      SendSeries(kSeries, [] { Stop(); });
    });
  });
  EXPECT_LT(known_at - reported_at, Millis(2000));
  EXPECT_EQ(RunAway(), away_before_);
  EXPECT_EQ(last_status_, 200);
}

// Guards against a peer whose copy is older than it reports, or than what the
// store has told this instance.
TEST_F(EvacuationTest, OlderSetOfPeerNeitherWithdrawsNorRestores) {
  EvacuationPeer peer(&loop_, settings_.peers_address);
  Run([&] {
    PutEvacuation("other");
    PutEvacuation("other", "");
    PutEvacuation("away");
    AwaitEvacuated(1, [&] {
      store_.faults().unresponsive = true;
      peer.Start({kNewer, {}}, {{1, 2}, {"other", "dc-1"}});
      Await([&] { return peer.served() > 1; },
            [&] {
              away_before_ = RunAway();
              SendSeries(kSeries, [] { Stop(); });
            });
    });
  });
  EXPECT_EQ(last_status_, 200);
  EXPECT_EQ(RunAway(), away_before_);
}

// Guards against peers that are asked although the store can be read.
TEST_F(EvacuationTest, PeerIsNotAskedForASetThatIsKnown) {
  EvacuationPeer peer(&loop_, settings_.peers_address);
  Run([&] {
    PutEvacuation("away");
    AwaitEvacuated(1, [&] {
      peer.Start({kNewer, {"away"}}, {kNewer, {"away"}});
      loop_.After(Millis(800), [] { Stop(); });
    });
  });
  EXPECT_EQ(peer.served(), 0);
}

// Guards against an instance that does not pass on what it knows.
TEST_F(EvacuationTest, SetIsServedToPeersAlsoWithTheConfiguration) {
  EventLog log(&loop_, STDOUT_FILENO);
  Metrics metrics;
  std::set<std::string> keys_with_config;
  EvacuationSet received;
  PeerExchange::Hooks hooks;
  hooks.on_config = [&](const PeerExchange::Records& records) {
    for (const auto& [key, value] : records) {
      keys_with_config.insert(key);
    }
  };
  hooks.on_evacuations = [&](const PeerExchange::Records& records) {
    const auto set = platform::DecodeEvacuations(records[0].second);
    ASSERT_TRUE(set.ok());
    received = *set;
  };
  PeerExchange exchange(&loop_, &log, &metrics, *ListenTcp(FreeAddress()),
                        hooks);
  Run([&] {
    PutEvacuation("away");
    AwaitEvacuated(1, [&] {
      exchange.FetchConfig(settings_.peers_address);
      exchange.FetchEvacuations(settings_.peers_address);
      Await(
          [&] {
            return !keys_with_config.empty() && !received.data_centres.empty();
          },
          [] { Stop(); });
    });
  });
  EXPECT_EQ(received.data_centres, (std::set<std::string>{"away"}));
  EXPECT_EQ(received.as_of, (TopicPosition{1, 2}));
  EXPECT_EQ(keys_with_config,
            (std::set<std::string>{platform::kConfigKey,
                                   platform::kEvacuationSetKey}));
}

TEST(EvacuationCodecTest, MalformedSetsAreErrors) {
  const EvacuationSet set{{3, 17}, {"x", "y \"z\""}};
  const auto decoded =
      platform::DecodeEvacuations(platform::EncodeEvacuations(set));
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(*decoded, set);
  for (const char* it :
       {"", "[]", "{}", "{\"generation\":1,\"offset\":2}",
        "{\"generation\":1,\"offset\":-2,\"data_centres\":[]}",
        "{\"generation\":1,\"offset\":2,\"data_centres\":[5]}"}) {
    EXPECT_FALSE(platform::DecodeEvacuations(it).ok()) << it;
  }
}

}  // namespace
}  // namespace tamaracktrail
