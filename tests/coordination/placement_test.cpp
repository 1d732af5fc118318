#include "coordination/placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "coordination/allowed_regions.h"
#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_state.h"
#include "coordination/prefix_cache_index.h"
#include "state/endpoint_entry.h"
#include "state/routed_service.h"

namespace tamaracktrail {
namespace {

constexpr Millis kNow{100000};

RoutedService Engines() {
  RoutedService service;
  service.name = "llm";
  service.has_engines = true;
  service.slots = 64;
  service.kv_token_bytes = 163840;
  service.link_mbps = 180000;
  return service;
}

EndpointEntry Entry(int i, const std::string& data_centre = "a") {
  EndpointEntry entry;
  entry.id = absl::StrCat("e", i);
  entry.service = "llm";
  entry.address = absl::StrCat("10.0.0.", i + 1, ":80");
  entry.data_centre = data_centre;
  entry.start_unix_ms = 1;
  entry.sequence = 1;
  entry.slots = 64;
  return entry;
}

PromptShape Prompt(const std::string& session, int64_t own_tokens) {
  PromptShape prompt;
  prompt.parts = {{"system", 512}, {session, 4800}, {"own", own_tokens}};
  prompt.prompt_tokens = 512 + 4800 + own_tokens;
  prompt.max_output_tokens = 300;
  return prompt;
}

//! The view that one instance has of eight engines.
class InstanceView {
 public:
  InstanceView() : placement_(&registry_, &prefix_index_, "a") {
    for (int i = 0; i < 8; ++i) {
      registry_.Apply(kNow, Entry(i));
    }
  }

  Placement::Choice Choose(const PromptShape& prompt, Millis now = kNow) {
    const std::vector<uint64_t> prefix_hashes =
        PrefixCacheIndex::HashPrefixes(prompt.parts);
    Placement::Request request;
    request.service = &service_;
    request.prompt = &prompt;
    request.prefix_hashes = &prefix_hashes;
    request.allowed_regions = allowed_regions_;
    return *placement_.Choose(now, request, 0);
  }

  EndpointRegistry registry_;
  PrefixCacheIndex prefix_index_{1000};
  RoutedService service_ = Engines();
  AllowedRegions allowed_regions_;
  Placement placement_;
};

// The requests of a session arrive at all instances, which must choose the same
// engine for it without communicating.
TEST(PlacementTest, InstancesChooseTheSameEngineForASession) {
  InstanceView a;
  InstanceView b;
  for (int i = 0; i < 50; ++i) {
    const PromptShape prompt = Prompt(absl::StrCat("session", i), 600);
    EXPECT_EQ(a.Choose(prompt).id, b.Choose(prompt).id);
  }
}

TEST(PlacementTest, SessionsAreSpreadOverAllEngines) {
  InstanceView view;
  std::map<std::string, int> counts;
  for (int i = 0; i < 400; ++i) {
    ++counts[view.Choose(Prompt(absl::StrCat("session", i), 600)).id];
  }
  EXPECT_EQ(counts.size(), 8U);
}

// If one session gets many requests, its preferred engine becomes busy. Other
// engines must then fetch the shared prefix from it instead of prefilling it
// again.
TEST(PlacementTest, BusyPreferredEngineIsAvoidedAndItsPrefixIsFetched) {
  InstanceView view;
  const PromptShape prompt = Prompt("hot", 600);
  const Placement::Choice preferred = view.Choose(prompt);
  EXPECT_TRUE(preferred.fetch_from.empty());
  view.registry_.OnSent(kNow, *view.registry_.Find(preferred.id, 1), 60000,
                        Millis(1000));
  const Placement::Choice other = view.Choose(prompt);
  EXPECT_NE(other.id, preferred.id);
  EXPECT_EQ(other.fetch_from, preferred.address);
  EXPECT_LT(other.uncached_tokens, 1000);
}

// Guards against work that is moved to an engine which leaves, and against a
// fetch that it may break off.
TEST(PlacementTest, LeavingEngineIsNeitherChosenNorASourceOfThePrefix) {
  InstanceView view;
  const PromptShape prompt = Prompt("hot", 600);
  const Placement::Choice preferred = view.Choose(prompt);
  view.prefix_index_.OnPromptSent(kNow,
                                  PrefixCacheIndex::HashPrefixes(prompt.parts),
                                  preferred.incarnation_hash);
  view.registry_.notices().leaving().OnAnswer(kNow, preferred.incarnation_hash);
  const Placement::Choice other = view.Choose(prompt);
  EXPECT_NE(other.id, preferred.id);
  EXPECT_NE(other.fetch_from, preferred.address);
}

// Guards against a prefix that is fetched from an engine in a data centre that
// is evacuated: the fetch is work for that engine.
TEST(PlacementTest, PrefixIsNotFetchedFromEvacuatedEngine) {
  InstanceView view;
  const PromptShape prompt = Prompt("hot", 600);
  const Placement::Choice first = view.Choose(prompt);
  view.prefix_index_.OnPromptSent(kNow,
                                  PrefixCacheIndex::HashPrefixes(prompt.parts),
                                  first.incarnation_hash);
  EndpointEntry moved = view.registry_.Find(first.id, 1)->entry;
  moved.data_centre = "b";
  moved.sequence = 2;
  view.registry_.Apply(kNow, moved);
  view.registry_.OnSent(kNow, *view.registry_.Find(first.id, 1), 60000,
                        Millis(1000));
  EXPECT_EQ(view.Choose(prompt).fetch_from, first.address);
  view.registry_.evacuated().OnRecord({0, 1}, "b", true);
  // The session's engine is assumed to have the prefix; a third one fetches it.
  const Placement::Choice second = view.Choose(prompt);
  EXPECT_NE(second.id, first.id);
  view.registry_.OnSent(kNow, *view.registry_.Find(second.id, 1), 60000,
                        Millis(1000));
  const Placement::Choice third = view.Choose(prompt);
  EXPECT_NE(third.id, first.id);
  EXPECT_EQ(third.fetch_from, second.address);
}

// Guards against a prefix that leaves the regions in which its organisation may
// be served, and against a session's engine that the request may not use.
TEST(PlacementTest, PrefixOutsideTheAllowedRegionsIsNotUsed) {
  InstanceView view;
  const PromptShape prompt = Prompt("hot", 600);
  const Placement::Choice first = view.Choose(prompt);
  view.prefix_index_.OnPromptSent(kNow,
                                  PrefixCacheIndex::HashPrefixes(prompt.parts),
                                  first.incarnation_hash);
  EndpointEntry moved = view.registry_.Find(first.id, 1)->entry;
  moved.data_centre = "b";
  moved.sequence = 2;
  view.registry_.Apply(kNow, moved);
  view.registry_.SetRegions({{"a", "east"}, {"b", "west"}});
  EXPECT_EQ(view.Choose(prompt).id, first.id);
  const std::vector<std::string> east = {"east"};
  view.allowed_regions_ = AllowedRegions(&east, nullptr);
  // The session's engine is assumed to have the prefix; a third one fetches it.
  const Placement::Choice second = view.Choose(prompt);
  EXPECT_NE(second.id, first.id);
  view.registry_.OnSent(kNow, *view.registry_.Find(second.id, 1), 60000,
                        Millis(1000));
  const Placement::Choice third = view.Choose(prompt);
  EXPECT_NE(third.id, first.id);
  EXPECT_EQ(third.fetch_from, second.address);
}

// Many instances choose engines between two load reports of their peers, so the
// load of peers must have the same weight as the instance's own load.
TEST(PlacementTest, LoadReportedByPeersCountsLikeOwnLoad) {
  InstanceView view;
  const PromptShape prompt = Prompt("session", 600);
  const Placement::Choice preferred = view.Choose(prompt);
  view.registry_.SetPeerLoad(kNow, 1,
                             {{preferred.incarnation_hash, {80000, 3}}});
  EXPECT_NE(view.Choose(prompt).id, preferred.id);
}

TEST(PlacementTest, FailingEngineIsAvoidedUntilItsFailureRateDecays) {
  InstanceView view;
  const PromptShape prompt = Prompt("session", 600);
  const Placement::Choice preferred = view.Choose(prompt);
  for (int i = 0; i < 10; ++i) {
    EndpointTicket ticket = view.registry_.OnSent(
        kNow, *view.registry_.Find(preferred.id, 1), 0, Millis(50));
    view.registry_.OnEnded(kNow, &ticket, EndpointOutcome::kFailed);
  }
  EXPECT_NE(view.Choose(prompt).id, preferred.id);
  EXPECT_EQ(view.Choose(prompt, kNow + Millis(60000)).id, preferred.id);
}

TEST(PlacementTest, EngineWithAnOverdueAnswerIsAvoided) {
  InstanceView view;
  const PromptShape prompt = Prompt("session", 600);
  const Placement::Choice preferred = view.Choose(prompt);
  view.registry_.OnSent(kNow, *view.registry_.Find(preferred.id, 1), 0,
                        Millis(50));
  EXPECT_NE(view.Choose(prompt, kNow + Millis(4000)).id, preferred.id);
}

TEST(PlacementTest, ServiceWithoutEndpointsReturnsNoChoice) {
  InstanceView view;
  const PromptShape prompt = Prompt("session", 600);
  const std::vector<uint64_t> prefix_hashes =
      PrefixCacheIndex::HashPrefixes(prompt.parts);
  RoutedService other = Engines();
  other.name = "other";
  Placement::Request request;
  request.service = &other;
  request.prompt = &prompt;
  request.prefix_hashes = &prefix_hashes;
  EXPECT_FALSE(view.placement_.Choose(kNow, request, 0));
}

//! The load of a simulation.
struct LoadPattern {
  double requests_per_second = 0;
  double hot_ratio = 0;        //!< Fraction of requests of one hot session.
  bool loses_engines = false;  //!< Two of eight, after half of the requests.
};

//! Simulates requests that arrive at several instances, which exchange load
//! reports every 50 ms, and engines that prefill one prompt at a time.
class PlacementSimulation {
 public:
  //! `least_open` selects the baseline, which sends each request to the engine
  //! with the fewest open requests of the same instance.
  PlacementSimulation(LoadPattern load, bool least_open)
      : load_(load), least_open_(least_open), idle_at_(kEngines, 0) {
    for (int i = 0; i < kInstances; ++i) {
      views_.push_back(std::make_unique<InstanceView>());
    }
  }

  //! Returns the fraction of requests whose first event arrives within the
  //! target.
  double Run() {
    int within_target = 0;
    for (int n = 0; n < kRequests; ++n) {
      now_ += std::exponential_distribution<double>(load_.requests_per_second /
                                                    1000)(random_);
      FinishRequests();
      ExchangeLoadReports();
      if (load_.loses_engines && n == kRequests / 2) {
        RemoveEngines();
      }
      within_target += Send() <= kTargetMs ? 1 : 0;
    }
    return static_cast<double>(within_target) / kRequests;
  }

 private:
  static constexpr int kInstances = 6;
  static constexpr int kEngines = 8;
  static constexpr int kRequests = 4000;
  //! Differs from the 60 that Placement assumes.
  static constexpr double kTokensPerMs = 65;
  static constexpr double kTargetMs = 800;
  static constexpr double kReportIntervalMs = 50;

  struct OpenRequest {
    double first_event_at;
    size_t view;
    EndpointTicket ticket;
  };

  Millis At() const { return kNow + Millis(static_cast<int64_t>(now_)); }

  void FinishRequests() {
    std::erase_if(open_requests_, [&](OpenRequest& it) {
      if (it.first_event_at > now_) {
        return false;
      }
      EndpointRegistry& registry = views_[it.view]->registry_;
      registry.OnFirstByte(At(), &it.ticket);
      registry.OnEnded(At(), &it.ticket, EndpointOutcome::kAnswered);
      return true;
    });
  }

  void ExchangeLoadReports() {
    if (now_ - reported_ < kReportIntervalMs) {
      return;
    }
    reported_ = now_;
    for (size_t a = 0; a < views_.size(); ++a) {
      for (size_t b = 0; b < views_.size(); ++b) {
        if (a != b) {
          views_[a]->registry_.SetPeerLoad(At(), b + 1,
                                           views_[b]->registry_.OwnLoad());
        }
      }
    }
  }

  void RemoveEngines() {
    for (const auto& view : views_) {
      view->registry_.Remove(At(), "e0", false);
      view->registry_.Remove(At(), "e1", false);
    }
  }

  PromptShape RandomPrompt() {
    const bool hot =
        std::uniform_real_distribution<double>(0, 1)(random_) < load_.hot_ratio;
    const double own_tokens =
        std::min(50000.0, std::lognormal_distribution<double>(8, 1)(random_));
    return Prompt(hot ? "hot" : absl::StrCat("s", random_() % 100),
                  static_cast<int64_t>(own_tokens));
  }

  //! Sends one request; returns the time to its first event, ms.
  double Send() {
    const size_t v = random_() % views_.size();
    EndpointRegistry& registry = views_[v]->registry_;
    const PromptShape prompt = RandomPrompt();
    Placement::Choice choice = views_[v]->Choose(prompt, At());
    if (least_open_) {
      const auto usable = registry.Usable(At(), "llm");
      const auto* least = *std::min_element(
          usable.begin(), usable.end(), [](const auto* a, const auto* b) {
            return a->own_load.open < b->own_load.open;
          });
      choice.id = least->entry.id;
      choice.uncached_tokens = prompt.prompt_tokens;
    }
    const size_t engine = std::stoul(choice.id.substr(1));
    const double first =
        std::max(now_, idle_at_[engine]) +
        static_cast<double>(choice.uncached_tokens) / kTokensPerMs;
    idle_at_[engine] = first;
    open_requests_.push_back(
        {first, v,
         registry.OnSent(At(), *registry.Find(choice.id, 1),
                         choice.uncached_tokens, choice.predicted)});
    return first - now_;
  }

  LoadPattern load_;
  bool least_open_;
  std::mt19937_64 random_{7};
  std::vector<std::unique_ptr<InstanceView>> views_;
  std::vector<double> idle_at_;
  std::vector<OpenRequest> open_requests_;
  double now_ = 0;
  double reported_ = 0;
};

// At a load that the engines can handle, more than 90% of the requests must get
// their first event within 800 ms, and more than with the baseline.
TEST(PlacementSimulationTest, SteadyLoadMeetsTheTargetAndBeatsTheBaseline) {
  const double ratio = PlacementSimulation({55, 0, false}, false).Run();
  EXPECT_GT(ratio, 0.9);
  EXPECT_GT(ratio, PlacementSimulation({55, 0, false}, true).Run());
}

TEST(PlacementSimulationTest, HotSessionMeetsTheTargetAndBeatsTheBaseline) {
  const double ratio = PlacementSimulation({55, 0.4, false}, false).Run();
  EXPECT_GT(ratio, 0.9);
  EXPECT_GT(ratio, PlacementSimulation({55, 0.4, false}, true).Run());
}

TEST(PlacementSimulationTest,
     LossOfAQuarterOfTheEnginesMeetsTheTargetAndBeatsTheBaseline) {
  const double ratio = PlacementSimulation({45, 0, true}, false).Run();
  EXPECT_GT(ratio, 0.9);
  EXPECT_GT(ratio, PlacementSimulation({45, 0, true}, true).Run());
}

}  // namespace
}  // namespace tamaracktrail
