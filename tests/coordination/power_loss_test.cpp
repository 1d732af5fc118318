#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "coordination/budget_shares.h"
#include "coordination/token_lending.h"
#include "state/organisation.h"
#include "support/budget_holder.h"
#include "support/fake_budget_topic.h"

namespace tamaracktrail {
namespace {

constexpr char kName[] = "cedar";

//! An instance with its share, its loans and its requests. Its address is its
//! position.
struct Instance {
  struct Waiting {
    int64_t tokens;
    Millis since;
  };
  struct Open {
    int64_t tokens;
    Millis ends_at;
  };

  Instance(FakeBudgetTopic* topic,
           int position,
           uint64_t incarnation,
           Millis now,
           const std::string& boot)
      : name(std::to_string(position)),
        incarnation(incarnation),
        holder(topic, name, incarnation, now, boot),
        lending({name, incarnation, name}, &holder.shares()) {}

  std::string name;
  uint64_t incarnation;
  BudgetHolder holder;
  TokenLending lending;
  std::vector<Waiting> waiting;
  std::vector<Open> open;
};

//! Instances that serve one organisation's requests, whose power losses and
//! disconnections from the log are given. Messages between instances that run
//! arrive at once.
class PowerLossRun {
 public:
  static constexpr int kRequestsPerSecond = 36;
  static constexpr int64_t kMinTokens = 400;
  static constexpr int64_t kMaxTokens = 4400;

  //! `prepaid_seconds` is the time for which the budget suffices if nothing is
  //! stranded.
  PowerLossRun(uint64_t seed, int instances, double prepaid_seconds)
      : random_(seed),
        instances_count_(instances),
        prepaid_(static_cast<int64_t>(prepaid_seconds * kRequestsPerSecond *
                                      (kMinTokens + kMaxTokens) / 2 *
                                      kMeanSpentPart)),
        instances_(static_cast<size_t>(instances)),
        back_at_(static_cast<size_t>(instances)),
        boots_(static_cast<size_t>(instances)) {
    for (int i = 0; i < instances_count_; ++i) {
      Start(i);
    }
  }

  //! Runs until `end`, and counts the requests that end meanwhile.
  void RunUntil(Millis end) {
    served_ = refused_ = 0;
    while (now_ < end) {
      now_ = now_ + kStep;
      for (int i = 0; i < instances_count_; ++i) {
        if (instances_[i] == nullptr && now_ >= back_at_[i]) {
          Start(i);
        }
      }
      Arrive();
      for (int i = 0; i < instances_count_; ++i) {
        if (instances_[i] != nullptr) {
          RunStep(i);
        }
      }
    }
  }

  //! Cuts the power of a part of the instances.
  void LosePower(double part, Millis down) {
    std::vector<int> order(instances_count_);
    for (int i = 0; i < instances_count_; ++i) {
      order[i] = i;
    }
    std::shuffle(order.begin(), order.end(), random_);
    order.resize(static_cast<size_t>(std::lround(part * instances_count_)));
    for (const int i : order) {
      instances_[i].reset();
      ++boots_[i];
      back_at_[i] = now_ + down;
    }
  }

  void SetConnected(bool connected) { connected_ = connected; }

  //! Part of the requests that ended in the last run that was served.
  double served() const {
    return static_cast<double>(served_) /
           static_cast<double>(std::max<int64_t>(1, served_ + refused_));
  }
  //! Part of the budget that is stranded, according to the log.
  double stranded() const {
    std::vector<int64_t> stranded(instances_count_);
    for (size_t n = 0; n < topic_.end(); ++n) {
      if (const auto* it = std::get_if<BudgetClaim>(&topic_.at(n))) {
        stranded[std::stoul(it->instance)] = it->stranded;
      }
    }
    int64_t sum = 0;
    for (const int64_t it : stranded) {
      sum += it;
    }
    return static_cast<double>(sum) / static_cast<double>(prepaid_);
  }

 private:
  static constexpr Millis kStep{20};
  static constexpr Millis kMaxWait{500};
  static constexpr Millis kLogInterval{200};
  static constexpr Millis kReportInterval{300};
  static constexpr double kMeanSpentPart = 0.75;

  uint64_t RandomBelow(uint64_t n) { return random_() % n; }

  void Start(int i) {
    instances_[i] = std::make_unique<Instance>(&topic_, i, ++incarnations_,
                                               now_, std::to_string(boots_[i]));
    Organisation organisation;
    organisation.name = kName;
    organisation.prepaid = prepaid_;
    instances_[i]->holder.shares().SetBudgets({organisation});
    instances_[i]->holder.shares().SetInstances(instances_count_);
  }

  //! Requests arrive at random at the instances that run.
  void Arrive() {
    std::poisson_distribution<int> arrivals(
        kRequestsPerSecond * static_cast<double>(kStep.count()) / 1000);
    for (int n = arrivals(random_); n > 0; --n) {
      const auto i = static_cast<int>(RandomBelow(instances_count_));
      if (instances_[i] == nullptr) {
        ++n;  // Another one is tried, unless none runs.
        if (std::none_of(std::begin(instances_), std::end(instances_),
                         [](const auto& it) { return it != nullptr; })) {
          return;
        }
        continue;
      }
      const auto tokens =
          kMinTokens +
          static_cast<int64_t>(RandomBelow(kMaxTokens - kMinTokens));
      instances_[i]->waiting.push_back({tokens, now_});
      instances_[i]->lending.AddDemand(kName, tokens);
    }
  }

  void RunStep(int i) {
    Instance& instance = *instances_[i];
    std::erase_if(instance.open, [&](const Instance::Open& it) {
      if (it.ends_at > now_) {
        return false;
      }
      const auto spent = static_cast<int64_t>(
          static_cast<double>(it.tokens) *
          (0.5 + static_cast<double>(RandomBelow(1000)) / 2000));
      instance.holder.shares().Settle(kName, it.tokens, spent);
      return true;
    });
    Serve(&instance);
    const bool due = (now_.count() / kStep.count() + i) %
                         (kLogInterval.count() / kStep.count()) ==
                     0;
    if (connected_ && (due || !instance.waiting.empty())) {
      instance.holder.AppendAndRead(now_);
      Serve(&instance);
    }
    if (!instance.waiting.empty() && instance.lending.Borrow(now_, kName)) {
      Deliver();
      Serve(&instance);
    }
    instance.lending.OnTick(now_);
    Deliver();
    if ((now_.count() / kStep.count() + i) %
            (kReportInterval.count() / kStep.count()) ==
        0) {
      for (const auto& it : instances_) {
        if (it != nullptr && it.get() != &instance) {
          it->lending.OnReport(now_, instance.name,
                               {instance.name, instance.incarnation, true,
                                instance.lending.MakeHints(now_)});
        }
      }
    }
  }

  void Serve(Instance* instance) {
    std::erase_if(instance->waiting, [&](const Instance::Waiting& it) {
      const bool granted =
          instance->holder.shares().Reserve(now_, kName, it.tokens) ==
          BudgetShares::Verdict::kGranted;
      if (!granted && now_ - it.since < kMaxWait) {
        return false;
      }
      instance->lending.RemoveDemand(kName, it.tokens);
      if (granted) {
        ++served_;
        instance->open.push_back(
            {it.tokens,
             now_ + Millis(200 + static_cast<int64_t>(RandomBelow(1600)))});
      } else {
        ++refused_;
      }
      return true;
    });
  }

  void Deliver() {
    bool sent = true;
    while (sent) {
      sent = false;
      for (const auto& from : instances_) {
        if (from == nullptr) {
          continue;
        }
        for (const TokenLending::Outgoing& it : from->lending.TakeOutgoing()) {
          sent = true;
          Instance* to = instances_[std::stoul(it.address)].get();
          if (to == nullptr) {
            continue;
          }
          if (const auto* request = std::get_if<TokenRequest>(&it.message)) {
            to->lending.OnRequest(now_, *request);
          } else if (const auto* loan = std::get_if<TokenLoan>(&it.message)) {
            to->lending.OnLoan(now_, *loan);
          } else {
            to->lending.OnReceipt(std::get<LoanReceipt>(it.message));
          }
        }
      }
    }
  }

  std::mt19937_64 random_;
  int instances_count_;
  int64_t prepaid_;
  FakeBudgetTopic topic_;
  Millis now_{100000};
  bool connected_ = true;
  int64_t served_ = 0;
  int64_t refused_ = 0;
  uint64_t incarnations_ = 0;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<Millis> back_at_;
  std::vector<int> boots_;
};

constexpr Millis kStart{100000};
constexpr double kLostPart = 0.55;

//! The environment may replace the numbers of instances and seeds in runs by
//! hand; the bounds below hold for the defaults.
int FromEnvironment(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::stoi(text);
}

struct Result {
  double served = 0;
  double stranded = 0;
};

//! Returns the mean over the seeds of a run by `scenario`.
Result Measure(Result (*scenario)(PowerLossRun* run, int losses),
               const std::string& name,
               double prepaid_seconds,
               int losses) {
  const int instances = FromEnvironment("POWER_LOSS_INSTANCES", 24);
  const int seeds = FromEnvironment("POWER_LOSS_SEEDS", 5);
  Result mean;
  for (int seed = 1; seed <= seeds; ++seed) {
    PowerLossRun run(static_cast<uint64_t>(seed), instances, prepaid_seconds);
    const Result result = scenario(&run, losses);
    mean.served += result.served / seeds;
    mean.stranded += result.stranded / seeds;
  }
  std::cout << name << " instances=" << instances << " seeds=" << seeds
            << " prepaid_s=" << prepaid_seconds << " losses=" << losses
            << " served=" << mean.served << " stranded=" << mean.stranded
            << "\n";
  return mean;
}

//! Half of the instances lose power `losses` times, 6 s apart.
void LoseHalf(PowerLossRun* run, int losses) {
  for (int n = 0; n < losses; ++n) {
    run->RunUntil(kStart + Millis(8000 + 6000 * n));
    run->LosePower(kLostPart, Millis(2000));
  }
}

//! After the losses of half of the instances, all lose power. Counts the
//! requests from 4.8 s after they are back.
Result LoseAll(PowerLossRun* run, int losses) {
  LoseHalf(run, losses);
  run->RunUntil(kStart + Millis(41000));
  run->LosePower(1, Millis(1200));
  run->RunUntil(kStart + Millis(47000));
  run->RunUntil(kStart + Millis(60000));
  return {run->served(), run->stranded()};
}

//! After the losses, all instances are cut off from the log for 8 s. Counts the
//! requests of this time.
Result Disconnect(PowerLossRun* run, int losses) {
  LoseHalf(run, losses);
  run->RunUntil(kStart + Millis(16000 + 6000 * losses));
  run->SetConnected(false);
  run->RunUntil(kStart + Millis(24000 + 6000 * losses));
  return {run->served(), run->stranded()};
}

// Guards against repeated power losses that strand a budget which would
// otherwise suffice: with shares of a size that ignores stranded tokens, 0.14
// was served after the last loss and 0.56 stranded, and 0.02 with 70 s.
TEST(PowerLossTest, RequestsAreServedAfterRepeatedLosses) {
  const Result four = Measure(LoseAll, "lose_all", 90, 4);
  EXPECT_GT(four.served, 0.8);
  EXPECT_LT(four.stranded, 0.45);
  const Result two = Measure(LoseAll, "lose_all", 70, 2);
  EXPECT_GT(two.served, 0.4);
  EXPECT_LT(two.stranded, 0.36);
}

// Guards against shares too small for a disconnection after power losses. The
// last value was 0.41 with shares of a size that ignores stranded tokens.
TEST(PowerLossTest, DisconnectionIsServedAfterLosses) {
  EXPECT_GT(Measure(Disconnect, "disconnect", 70, 0).served, 0.99);
  EXPECT_GT(Measure(Disconnect, "disconnect", 70, 1).served, 0.99);
  EXPECT_GT(Measure(Disconnect, "disconnect", 90, 2).served, 0.99);
  EXPECT_GT(Measure(Disconnect, "disconnect", 70, 2).served, 0.5);
}

}  // namespace
}  // namespace tamaracktrail
