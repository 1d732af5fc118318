#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "coordination/fleet_part.h"
#include "coordination/retry_budgets.h"
#include "state/millis.h"

namespace tamaracktrail {
namespace {

constexpr Millis kStep{10};
constexpr Millis kWindow{10000};
constexpr Millis kPollInterval{3000};
constexpr Millis kFirstStart{10000};  //!< Before the first request.
constexpr char kService[] = "app";

//! Faults that the model can be given, to show that its oracle finds them.
enum class PlantedFault {
  kNone,
  kBurstAtStart,   //!< A new process may use its burst at once.
  kAloneUnlisted,  //!< Without a list, an instance counts itself alone.
};

//! A fleet whose instances are killed, started, added and cut from the store at
//! random, and whose requests need retries in bursts.
class FleetModel {
 public:
  struct Options {
    int instances = 8;
    int spare = 8;  //!< Instances that may be added.
    RetryBudgets::Limits limits{0.2, 56, kWindow};
    double requests_per_s = 60;  //!< Of the first instances together.
    //! No disruption, and all requests fail.
    bool calm = false;
    PlantedFault fault = PlantedFault::kNone;
  };

  FleetModel(Options options, uint64_t seed)
      : options_(options), random_(seed) {
    // Parts are saved up between rare disruptions, and lost in series of them.
    const double rates[] = {0.1, 0.3, 1};
    disruptions_per_s_ = options_.calm ? 0 : rates[Uniform(0, 2)];
    for (int i = 0; i < options_.instances; ++i) {
      AddNode(Uniform(0, 300));
    }
  }

  void Run(Millis time) {
    const Millis end = now_ + time;
    while (now_ < end) {
      now_ = now_ + kStep;
      if (now_ > kFirstStart && Happens(disruptions_per_s_)) {
        Disrupt();
      }
      for (auto& it : nodes_) {
        Step(it.get());
      }
      requests_.push_back(requests_.back() + requests_now_);
      retries_.push_back(retries_.back() + retries_now_);
      requests_now_ = 0;
      retries_now_ = 0;
    }
  }

  //! Largest share of what is allowed that any window had.
  double FullestWindow() const {
    const auto window = static_cast<size_t>(kWindow.count() / kStep.count());
    double fullest = 0;
    for (size_t end = 1; end < retries_.size(); ++end) {
      const double requests = std::max(
          {Sum(requests_, end, window), Sum(requests_, end, 2 * window, window),
           Sum(requests_, end, window + window / 2, window / 2)});
      const double allowed =
          options_.limits.ratio * requests + options_.limits.extra;
      fullest = std::max(fullest, Sum(retries_, end, window) / allowed);
    }
    return fullest;
  }

  int retries() const { return retries_.back(); }
  int requests() const { return requests_.back(); }

 private:
  struct Node {
    std::string name;
    bool alive = false;
    Millis start_at;   //!< While not alive.
    Millis cut_until;  //!< No call of the store succeeds.
    Millis next_poll;
    Millis register_at;  //!< 0 for not.
    std::unique_ptr<FleetPart> part;
    std::unique_ptr<RetryBudgets> budgets;
    bool first_list_read = false;
  };

  //! Sum of the steps in [end - begin_before, end - end_before).
  static double Sum(const std::vector<int>& totals,
                    size_t end,
                    size_t begin_before,
                    size_t end_before = 0) {
    const auto at = [&](size_t before) {
      return end < before ? 0 : totals[end - before];
    };
    return at(end_before) - at(begin_before);
  }

  int64_t Uniform(int64_t min, int64_t max) {
    return std::uniform_int_distribution<int64_t>(min, max)(random_);
  }
  bool Happens(double per_s) {
    const double p = per_s * static_cast<double>(kStep.count()) / 1000;
    return std::bernoulli_distribution(std::min(1.0, p))(random_);
  }
  //! A time that is short, or longer than lists count.
  Millis SomeTime() {
    return Millis(Uniform(0, 3) == 0 ? Uniform(0, 45000) : Uniform(0, 9000));
  }

  void AddNode(int64_t delay_ms) {
    nodes_.push_back(std::make_unique<Node>());
    Node* node = nodes_.back().get();
    node->name = absl::StrCat("node-", nodes_.size());
    node->start_at = now_ + Millis(delay_ms);
  }

  void Start(Node* node) {
    node->alive = true;
    node->first_list_read = false;
    node->register_at = {};
    node->next_poll = now_;
    const Millis started_at =
        options_.fault == PlantedFault::kBurstAtStart ? now_ - kWindow : now_;
    const bool first_start = now_ < Millis(1000);
    node->part = std::make_unique<FleetPart>(started_at, kWindow, first_start);
    node->budgets =
        std::make_unique<RetryBudgets>(node->part.get(), options_.limits);
    if (options_.fault == PlantedFault::kAloneUnlisted) {
      node->part->OnFirstListed(true);
      node->part->OnCounted(now_, 1);
    }
  }

  void Disrupt() {
    Node* node =
        nodes_[Uniform(0, static_cast<int64_t>(nodes_.size()) - 1)].get();
    switch (Uniform(0, 10)) {
      case 0:
      case 1:
        Kill(node, Millis(Uniform(100, 4000)));
        break;
      case 2:
        for (auto& it : nodes_) {
          Kill(it.get(), Millis(Uniform(100, 1500)));
        }
        break;
      case 3:
        node->cut_until = now_ + SomeTime();
        break;
      case 4:  // All but those that are added meanwhile.
        CutAll();
        break;
      case 5:
        CutAll();
        AddSpare();
        break;
      case 6:
        AddSpare();
        break;
      case 7:
      case 8:
      case 9:
        failing_until_ = now_ + Millis(Uniform(500, 5000));
        break;
      default:
        // The store comes back from a copy that lacks the newest entries, which
        // their instances write again.
        if (!listed_.empty()) {
          const std::string name =
              *std::next(listed_.begin(),
                         Uniform(0, static_cast<int64_t>(listed_.size()) - 1));
          listed_.erase(name);
          for (auto& it : nodes_) {
            if (it->alive && it->name == name) {
              it->register_at = now_ + Millis(Uniform(10, 1000));
            }
          }
        }
    }
  }

  void CutAll() {
    const Millis until = now_ + SomeTime();
    for (auto& it : nodes_) {
      it->cut_until = until;
    }
  }

  void AddSpare() {
    const int64_t n =
        std::min<int64_t>(Uniform(1, options_.instances),
                          options_.instances + options_.spare -
                              static_cast<int64_t>(nodes_.size()));
    for (int64_t i = 0; i < n; ++i) {
      AddNode(Uniform(0, 2000));
    }
  }

  void Kill(Node* node, Millis down) {
    if (node->alive) {
      node->alive = false;
      node->start_at = now_ + down;
    }
  }

  void Step(Node* node) {
    if (!node->alive) {
      if (now_ >= node->start_at) {
        Start(node);
      }
      return;
    }
    if (now_ >= node->cut_until) {
      UseStore(node);
    }
    if (now_ > kFirstStart) {
      Serve(node);
    }
  }

  void UseStore(Node* node) {
    if (node->register_at > Millis(0) && now_ >= node->register_at) {
      listed_.insert(node->name);
      node->part->OnRegistered(now_);
      node->register_at = {};
    }
    if (now_ < node->next_poll) {
      return;
    }
    node->next_poll = now_ + kPollInterval;
    if (!node->first_list_read) {
      node->first_list_read = true;
      node->part->OnFirstListed(listed_.contains(node->name));
      node->register_at = now_ + Millis(Uniform(1, 50));
    }
    const int others = static_cast<int>(
        std::count_if(listed_.begin(), listed_.end(),
                      [&](const auto& it) { return it != node->name; }));
    // The answer takes some time.
    node->part->OnCounted(now_ - Millis(Uniform(0, 100)), others + 1);
  }

  void Serve(Node* node) {
    const double per_s = options_.requests_per_s / options_.instances;
    if (!Happens(per_s)) {
      return;
    }
    ++requests_now_;
    RetryBudget& budget = node->budgets->For(now_, kService);
    budget.OnRequest();
    const bool fails =
        options_.calm || now_ < failing_until_ || Uniform(0, 50) == 0;
    const int64_t wanted = fails ? Uniform(1, 20) : 0;
    for (int64_t i = 0; i < wanted && budget.TakeRetry(); ++i) {
      ++retries_now_;
    }
  }

  Options options_;
  std::mt19937_64 random_;
  double disruptions_per_s_ = 0;
  Millis now_;
  Millis failing_until_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<std::string> listed_;
  int requests_now_ = 0;
  int retries_now_ = 0;
  //! Totals by the end of each step.
  std::vector<int> requests_ = {0};
  std::vector<int> retries_ = {0};
};

double FullestOf(const FleetModel::Options& options, int seeds) {
  double fullest = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    FleetModel model(options, seed);
    model.Run(Millis(180000));
    fullest = std::max(fullest, model.FullestWindow());
  }
  return fullest;
}

class RetryBudgetsModelTest : public testing::TestWithParam<double> {};

// Guards against retries above the fleet's limit after kills, starts of new
// instances, cuts from the store and lists that are read late.
TEST_P(RetryBudgetsModelTest, FleetKeepsItsLimitThroughDisruptions) {
  FleetModel::Options options;
  options.spare = 24;
  options.requests_per_s = GetParam();
  EXPECT_LE(FullestOf(options, 60), 1.0);
}

INSTANTIATE_TEST_SUITE_P(RequestsPerSecond,
                         RetryBudgetsModelTest,
                         testing::Values(2, 10, 60, 300));

TEST(RetryBudgetsModelTest, LargeFleetKeepsItsLimit) {
  FleetModel::Options options;
  options.instances = 100;
  options.spare = 50;
  options.limits.extra = 215;
  options.requests_per_s = 100;
  EXPECT_LE(FullestOf(options, 4), 1.0);
}

TEST(RetryBudgetsModelTest, OracleFindsBurstsAtTheStartOfProcesses) {
  FleetModel::Options options;
  options.requests_per_s = 60;
  options.fault = PlantedFault::kBurstAtStart;
  EXPECT_GT(FullestOf(options, 20), 1.0);
}

TEST(RetryBudgetsModelTest, OracleFindsInstancesThatCountThemselvesAlone) {
  FleetModel::Options options;
  options.requests_per_s = 60;
  options.fault = PlantedFault::kAloneUnlisted;
  EXPECT_GT(FullestOf(options, 20), 1.0);
}

TEST(RetryBudgetsModelTest, CalmFleetHasFourFifthsOfItsLimitAtOnce) {
  FleetModel::Options options;
  options.calm = true;
  options.requests_per_s = 5000;
  FleetModel model(options, 1);
  // All requests fail for a moment; nothing has failed before.
  model.Run(kFirstStart + Millis(400));
  EXPECT_GE(model.retries(), 0.75 * options.limits.extra);
}

}  // namespace
}  // namespace tamaracktrail
