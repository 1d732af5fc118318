#include "coordination/placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "coordination/endpoint_board.h"
#include "coordination/endpoint_state.h"
#include "coordination/prefix_memory.h"
#include "state/endpoint_entry.h"
#include "state/routed_service.h"

namespace tamaracktrail {
namespace {

constexpr Millis kNow{100000};

RoutedService Engines() {
  RoutedService service;
  service.name = "llm";
  service.generates = true;
  service.slots = 64;
  service.token_bytes = 163840;
  service.link_mbps = 180000;
  return service;
}

EndpointEntry Entry(int i, const std::string& data_centre = "a") {
  EndpointEntry entry;
  entry.id = absl::StrCat("e", i);
  entry.service = "llm";
  entry.address = absl::StrCat("10.0.0.", i + 1, ":80");
  entry.data_centre = data_centre;
  entry.born = 1;
  entry.sequence = 1;
  entry.slots = 64;
  return entry;
}

PromptShape Prompt(const std::string& session, int64_t own) {
  PromptShape prompt;
  prompt.parts = {{"system", 512}, {session, 4800}, {"own", own}};
  prompt.prompt_tokens = 512 + 4800 + own;
  prompt.max_output_tokens = 300;
  return prompt;
}

//! One instance's view of eight engines.
class View {
 public:
  View() : placement_(&board_, &memory_, "a") {
    for (int i = 0; i < 8; ++i) {
      board_.Apply(kNow, Entry(i));
    }
  }

  Placement::Choice Choose(const PromptShape& prompt, Millis now = kNow) {
    const std::vector<uint64_t> chain = PrefixMemory::Chain(prompt.parts);
    Placement::Request request;
    request.service = &service_;
    request.prompt = &prompt;
    request.chain = &chain;
    return *placement_.Choose(now, request, 0);
  }

  EndpointBoard board_;
  PrefixMemory memory_{1000};
  RoutedService service_ = Engines();
  Placement placement_;
};

// Load pattern: a session's requests come through all instances.
TEST(PlacementTest, InstancesAgreeOnASessionsEngineWithoutAsking) {
  View a;
  View b;
  for (int i = 0; i < 50; ++i) {
    const PromptShape prompt = Prompt(absl::StrCat("session", i), 600);
    EXPECT_EQ(a.Choose(prompt).id, b.Choose(prompt).id);
  }
}

TEST(PlacementTest, SessionsSpreadOverAllEngines) {
  View view;
  std::map<std::string, int> counts;
  for (int i = 0; i < 400; ++i) {
    ++counts[view.Choose(Prompt(absl::StrCat("session", i), 600)).id];
  }
  EXPECT_EQ(counts.size(), 8U);
}

// Load pattern: a hot session. Its engine fills up, and the others fetch the
// shared part from it instead of reading it again.
TEST(PlacementTest, ABusyHomeGivesWorkAwayAndIsFetchedFrom) {
  View view;
  const PromptShape prompt = Prompt("hot", 600);
  const Placement::Choice home = view.Choose(prompt);
  EXPECT_TRUE(home.fetch_from.empty());
  view.board_.OnSent(kNow, *view.board_.Find(home.id, 1), 60000, Millis(1000));
  const Placement::Choice other = view.Choose(prompt);
  EXPECT_NE(other.id, home.id);
  EXPECT_EQ(other.fetch_from, home.address);
  EXPECT_LT(other.prompt_tokens, 1000);
}

// Load pattern: many instances choose between two reports of each other. What
// peers have open counts as much as what this instance has.
TEST(PlacementTest, PeersOpenPromptsCountAsOwn) {
  View view;
  const PromptShape prompt = Prompt("session", 600);
  const Placement::Choice home = view.Choose(prompt);
  view.board_.SetPeerLoad(kNow, 1, {{home.hash, {80000, 3}}});
  EXPECT_NE(view.Choose(prompt).id, home.id);
}

TEST(PlacementTest, AnEngineThatFailsGetsLess) {
  View view;
  const PromptShape prompt = Prompt("session", 600);
  const Placement::Choice home = view.Choose(prompt);
  for (int i = 0; i < 10; ++i) {
    EndpointTicket ticket =
        view.board_.OnSent(kNow, *view.board_.Find(home.id, 1), 0, Millis(50));
    view.board_.OnEnded(kNow, &ticket, EndpointOutcome::kFailed);
  }
  EXPECT_NE(view.Choose(prompt).id, home.id);
  EXPECT_EQ(view.Choose(prompt, kNow + Millis(60000)).id, home.id);
}

TEST(PlacementTest, AnEngineThatDoesNotAnswerGetsLess) {
  View view;
  const PromptShape prompt = Prompt("session", 600);
  const Placement::Choice home = view.Choose(prompt);
  view.board_.OnSent(kNow, *view.board_.Find(home.id, 1), 0, Millis(50));
  EXPECT_NE(view.Choose(prompt, kNow + Millis(4000)).id, home.id);
}

TEST(PlacementTest, NoEndpointMeansNoChoice) {
  View view;
  const PromptShape prompt = Prompt("session", 600);
  const std::vector<uint64_t> chain = PrefixMemory::Chain(prompt.parts);
  RoutedService other = Engines();
  other.name = "other";
  Placement::Request request;
  request.service = &other;
  request.prompt = &prompt;
  request.chain = &chain;
  EXPECT_FALSE(view.placement_.Choose(kNow, request, 0));
}

//! A load pattern.
struct Pattern {
  double per_second = 0;
  double hot_part = 0;        //!< Of requests that belong to one session.
  bool engines_lost = false;  //!< Two of eight, midway.
};

//! Replays arrivals against engines that read prompts one after another, as
//! seen by several instances that hear of each other's open prompts 50 ms late.
class Replay {
 public:
  //! `by_count`: the baseline, which sends to the engine with the fewest
  //! requests in the own view.
  Replay(Pattern pattern, bool by_count)
      : pattern_(pattern), by_count_(by_count), free_at_(kEngines, 0) {
    for (int i = 0; i < kInstances; ++i) {
      views_.push_back(std::make_unique<View>());
    }
  }

  //! Part of requests whose first event comes within the aim.
  double Run() {
    int good = 0;
    for (int n = 0; n < kRequests; ++n) {
      now_ += std::exponential_distribution<double>(pattern_.per_second /
                                                    1000)(random_);
      EndWork();
      ShareLoads();
      if (pattern_.engines_lost && n == kRequests / 2) {
        LoseEngines();
      }
      good += Send() <= kAimMs ? 1 : 0;
    }
    return static_cast<double>(good) / kRequests;
  }

 private:
  static constexpr int kInstances = 6;
  static constexpr int kEngines = 8;
  static constexpr int kRequests = 4000;
  static constexpr double kTokensPerMs = 65;
  static constexpr double kAimMs = 800;
  static constexpr double kReportMs = 50;

  struct Running {
    double first_at;
    size_t view;
    EndpointTicket ticket;
  };

  Millis At() const { return kNow + Millis(static_cast<int64_t>(now_)); }

  void EndWork() {
    std::erase_if(running_, [&](Running& it) {
      if (it.first_at > now_) {
        return false;
      }
      EndpointBoard& board = views_[it.view]->board_;
      board.OnFirstByte(At(), &it.ticket);
      board.OnEnded(At(), &it.ticket, EndpointOutcome::kGood);
      return true;
    });
  }

  void ShareLoads() {
    if (now_ - reported_ < kReportMs) {
      return;
    }
    reported_ = now_;
    for (size_t a = 0; a < views_.size(); ++a) {
      for (size_t b = 0; b < views_.size(); ++b) {
        if (a != b) {
          views_[a]->board_.SetPeerLoad(At(), b + 1,
                                        views_[b]->board_.OwnLoad());
        }
      }
    }
  }

  void LoseEngines() {
    for (const auto& view : views_) {
      view->board_.Remove(At(), "e0", false);
      view->board_.Remove(At(), "e1", false);
    }
  }

  PromptShape DrawPrompt() {
    const bool hot = std::uniform_real_distribution<double>(0, 1)(random_) <
                     pattern_.hot_part;
    const double own =
        std::min(50000.0, std::lognormal_distribution<double>(8, 1)(random_));
    return Prompt(hot ? "hot" : absl::StrCat("s", random_() % 100),
                  static_cast<int64_t>(own));
  }

  //! Time to the first event, ms.
  double Send() {
    const size_t v = random_() % views_.size();
    EndpointBoard& board = views_[v]->board_;
    const PromptShape prompt = DrawPrompt();
    Placement::Choice choice = views_[v]->Choose(prompt, At());
    if (by_count_) {
      const auto usable = board.Usable(At(), "llm");
      const auto* least = *std::min_element(usable.begin(), usable.end(),
                                            [](const auto* a, const auto* b) {
                                              return a->own.open < b->own.open;
                                            });
      choice.id = least->entry.id;
      choice.prompt_tokens = prompt.prompt_tokens;
    }
    const size_t engine = std::stoul(choice.id.substr(1));
    const double first =
        std::max(now_, free_at_[engine]) +
        static_cast<double>(choice.prompt_tokens) / kTokensPerMs;
    free_at_[engine] = first;
    running_.push_back({first, v,
                        board.OnSent(At(), *board.Find(choice.id, 1),
                                     choice.prompt_tokens, choice.predicted)});
    return first - now_;
  }

  Pattern pattern_;
  bool by_count_;
  std::mt19937_64 random_{7};
  std::vector<std::unique_ptr<View>> views_;
  std::vector<double> free_at_;
  std::vector<Running> running_;
  double now_ = 0;
  double reported_ = 0;
};

// Bounds are the targets: nine in ten within the aim at a load that the engines
// can carry, and never below the baseline.
TEST(PlacementReplayTest, SteadyLoad) {
  const double served = Replay({55, 0, false}, false).Run();
  EXPECT_GT(served, 0.9);
  EXPECT_GT(served, Replay({55, 0, false}, true).Run());
}

TEST(PlacementReplayTest, HotSession) {
  const double served = Replay({55, 0.4, false}, false).Run();
  EXPECT_GT(served, 0.9);
  EXPECT_GT(served, Replay({55, 0.4, false}, true).Run());
}

TEST(PlacementReplayTest, AQuarterOfTheEnginesGone) {
  const double served = Replay({45, 0, true}, false).Run();
  EXPECT_GT(served, 0.9);
  EXPECT_GT(served, Replay({45, 0, true}, true).Run());
}

}  // namespace
}  // namespace tamaracktrail
