#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_state.h"
#include "coordination/placement.h"
#include "coordination/prefix_cache_index.h"
#include "state/routed_service.h"
#include "tests/support/batch_engine.h"

namespace tamaracktrail {
namespace {

constexpr double kStart = 100000;

//! Requests of one kind, with their targets in ms.
struct Kind {
  double ratio = 0;
  double mean_tokens = 0;
  int64_t shared_tokens = 0;  //!< At most; of one of 40 sessions.
  double spread = 0;
  double first_event_target = 0;
  double gap_target = 0;
};

struct Workload {
  const char* name = "";
  BatchEngine::Options engine;
  std::vector<Kind> kinds;
  double requests_per_second = 0;
  //! Whether instances measure speeds; else placement has its initial values.
  bool measures = true;
};

Workload FastPrefill(double requests_per_second,
                     double long_ratio = 0.15,
                     bool measures = true) {
  return {"fast prefill",
          {3.27, 0.0823, 125, 62, 2048, 16, 10, 400000, 1},
          {{long_ratio, 12000, 5400, 1.4, 600, 300},
           {0.7 - long_ratio, 800, 400, 0.6, 300, 300},
           {0.3, 2400, 1200, 0.6, 400, 300}},
          requests_per_second,
          measures};
}

Workload SlowPrefill(double requests_per_second,
                     double long_ratio = 0.15,
                     bool measures = true) {
  return {"slow prefill",
          {3.09, 0.102, 56.9, 13, 2048, 12, 10, 400000, 1},
          {{long_ratio, 12000, 5400, 1.4, 1500, 600},
           {0.7 - long_ratio, 800, 400, 0.6, 400, 600},
           {0.3, 2400, 1200, 0.6, 500, 600}},
          requests_per_second,
          measures};
}

struct Sample {
  size_t kind = 0;
  int64_t tokens = 0;
  double sent_at = 0;
  double first_event = -1;  //!< Time from the send, ms; -1 for none yet.
  double last_event_at = 0;
  double longest_gap = 0;
  int late_gaps = 0;
  bool ended = false;
};

struct Figures {
  size_t count = 0;
  double p50 = 0;
  double p99 = 0;
  double late_gaps = 0;  //!< Fraction of requests with a pause over the target.
  double within = 0;     //!< Fraction with all within the targets.
};

//! Instances with delayed views of each other's load in front of engines of
//! different speed.
class LongPromptModel {
 public:
  LongPromptModel(const Workload& workload, uint64_t seed)
      : workload_(workload), random_(seed) {
    service_.name = "llm";
    service_.has_engines = true;
    service_.slots = workload.engine.slots;
    service_.tokens_per_event = workload.engine.tokens_per_event;
    service_.kv_cache_tokens = workload.engine.kv_cache_tokens;
    service_.kv_token_bytes = 163840;
    service_.link_mbps = 180000;
    for (int i = 0; i < kEngines; ++i) {
      BatchEngine::Options options = workload.engine;
      options.slowness = i % 3 == 0 ? 1.7 : 0.7;
      engines_.push_back(std::make_unique<BatchEngine>(options));
    }
    for (int i = 0; i < kInstances; ++i) {
      instances_.push_back(std::make_unique<Instance>());
      for (int e = 0; e < kEngines; ++e) {
        EndpointEntry entry;
        entry.id = absl::StrCat("e", e);
        entry.service = "llm";
        entry.address = absl::StrCat("10.0.0.", e, ":80");
        entry.data_centre = "a";
        entry.start_unix_ms = 1;
        entry.sequence = 1;
        entry.slots = workload.engine.slots;
        instances_.back()->registry.Apply(At(), entry);
      }
    }
  }

  void Run() {
    std::exponential_distribution<double> pause(workload_.requests_per_second /
                                                1000);
    double next = kStart;
    for (; now_ < kStart + kSimulatedMs; ++now_) {
      for (const auto& it : engines_) {
        it->RunUntil(now_);
      }
      if (static_cast<int64_t>(now_) % kReportMs == 0) {
        ExchangeReports();
      }
      if (static_cast<int64_t>(now_) % 500 == 0) {
        for (const auto& it : instances_) {
          it->registry.OnTick(At());
        }
      }
      for (; next <= now_; next += pause(random_)) {
        Send();
      }
    }
  }

  //! Figures of the samples that `selects` accepts. The first 10 s, in which
  //! speeds are learned, and the last 5 s don't count.
  template <class Select>
  Figures Count(Select selects) const {
    Figures figures;
    std::vector<double> first;
    double within = 0;
    for (const auto& it : samples_) {
      if (it->sent_at < kStart + 10000 ||
          it->sent_at > kStart + kSimulatedMs - 5000 || !selects(*it)) {
        continue;
      }
      const Kind& kind = workload_.kinds[it->kind];
      first.push_back(it->first_event < 0 ? 1e6 : it->first_event);
      figures.late_gaps += it->late_gaps > 0 ? 1 : 0;
      within +=
          it->late_gaps == 0 && first.back() <= kind.first_event_target ? 1 : 0;
    }
    if (first.empty()) {
      return figures;
    }
    std::sort(first.begin(), first.end());
    const auto n = static_cast<double>(first.size());
    figures.count = first.size();
    figures.p50 = first[first.size() / 2];
    figures.p99 = first[first.size() * 99 / 100];
    figures.late_gaps /= n;
    figures.within = within / n;
    return figures;
  }

  //! Prompt length that the given fraction of requests exceeds.
  int64_t Quantile(double fraction) const {
    std::vector<int64_t> tokens;
    for (const auto& it : samples_) {
      tokens.push_back(it->tokens);
    }
    std::sort(tokens.begin(), tokens.end(), std::greater<>());
    return tokens[static_cast<size_t>(fraction *
                                      static_cast<double>(tokens.size()))];
  }

 private:
  static constexpr int kInstances = 24;
  static constexpr int kEngines = 36;
  static constexpr double kSimulatedMs = 40000;
  //! A report is applied when the next one is made.
  static constexpr int64_t kReportMs = 60;

  struct Instance {
    EndpointRegistry registry;
    PrefixCacheIndex prefix_index{1000};
    Placement placement{&registry, &prefix_index, "a"};
    EndpointRegistry::LoadReport load;
    std::vector<ReportedSpeed> speeds;
    std::vector<ReportedServiceSpeed> service_speeds;
  };

  Millis At() const { return Millis(static_cast<int64_t>(now_)); }

  void ExchangeReports() {
    for (size_t a = 0; a < instances_.size(); ++a) {
      for (size_t b = 0; b < instances_.size(); ++b) {
        if (a != b) {
          instances_[a]->registry.SetPeerLoad(At(), b + 1, instances_[b]->load);
          instances_[a]->registry.OnReportedSpeeds(
              b + 1, instances_[b]->speeds, instances_[b]->service_speeds);
        }
      }
    }
    for (const auto& it : instances_) {
      it->load = it->registry.OwnLoad();
      it->speeds = it->registry.MakeSpeedReport();
      it->service_speeds = it->registry.MakeServiceSpeedReport();
    }
  }

  void Send() {
    std::uniform_real_distribution<double> uniform(0, 1);
    size_t kind_index = 0;
    for (double left = uniform(random_);
         kind_index + 1 < workload_.kinds.size() &&
         left >= workload_.kinds[kind_index].ratio;
         ++kind_index) {
      left -= workload_.kinds[kind_index].ratio;
    }
    const Kind& kind = workload_.kinds[kind_index];
    std::lognormal_distribution<double> length(
        std::log(kind.mean_tokens) - kind.spread * kind.spread / 2,
        kind.spread);
    const auto tokens =
        static_cast<int64_t>(std::clamp(length(random_), 50.0, 54600.0));
    const std::string session =
        absl::StrCat("k", kind_index, "s", random_() % 40);
    const int64_t shared = std::min(kind.shared_tokens, tokens / 2);
    PromptShape prompt;
    prompt.prompt_tokens = tokens;
    prompt.max_output_tokens = 300;
    prompt.parts = {{session, shared}, {"own", tokens - shared}};
    const std::vector<uint64_t> hashes =
        PrefixCacheIndex::HashPrefixes(prompt.parts);
    Instance& instance = *instances_[random_() % instances_.size()];
    Placement::Request request;
    request.service = &service_;
    request.prompt = &prompt;
    request.prefix_hashes = &hashes;
    SetTargets(kind, &request);
    const auto choice =
        instance.placement.Choose(At(), request, uniform(random_));
    ASSERT_TRUE(choice);
    auto ticket = std::make_shared<EndpointTicket>(instance.registry.OnSent(
        At(), *instance.registry.Find(choice->id, 1), choice->uncached_tokens,
        choice->predicted, workload_.measures ? choice->work : std::nullopt));
    instance.prefix_index.OnPromptSent(At(), hashes, choice->incarnation_hash);
    auto sample = std::make_shared<Sample>();
    sample->kind = kind_index;
    sample->tokens = prompt.prompt_tokens;
    sample->sent_at = now_;
    samples_.push_back(sample);
    BatchEngine::Call call =
        MakeCall(kind, prompt, sample, ticket, &instance.registry);
    call.fetches = !choice->fetch_from.empty();
    engines_[std::stoul(choice->id.substr(1))]->Start(now_, std::move(call));
  }

  BatchEngine::Call MakeCall(const Kind& kind,
                             const PromptShape& prompt,
                             const std::shared_ptr<Sample>& sample,
                             const std::shared_ptr<EndpointTicket>& ticket,
                             EndpointRegistry* registry) {
    std::lognormal_distribution<double> output(5, 0.7);
    BatchEngine::Call call;
    call.session = prompt.parts[0].id;
    call.shared_tokens = prompt.parts[0].tokens;
    call.prompt_tokens = prompt.prompt_tokens;
    call.output_tokens =
        1 + static_cast<int64_t>(std::min(600.0, output(random_)));
    call.on_event = [sample, ticket, registry, kind](double at) {
      if (sample->first_event < 0) {
        sample->first_event = at - sample->sent_at;
        registry->OnFirstByte(Millis(static_cast<int64_t>(at)), ticket.get());
      } else {
        const double gap = at - sample->last_event_at;
        sample->longest_gap = std::max(sample->longest_gap, gap);
        sample->late_gaps += gap > kind.gap_target ? 1 : 0;
      }
      sample->last_event_at = at;
    };
    call.on_end = [ticket, registry](double at) {
      registry->OnEnded(Millis(static_cast<int64_t>(at)), ticket.get(),
                        EndpointOutcome::kAnswered);
    };
    return call;
  }

  static void SetTargets(const Kind& kind, Placement::Request* request) {
    request->first_event_target =
        Millis(static_cast<int64_t>(kind.first_event_target));
    request->gap_target = Millis(static_cast<int64_t>(kind.gap_target));
  }

  Workload workload_;
  std::mt19937_64 random_;
  RoutedService service_;
  double now_ = kStart;
  std::vector<std::unique_ptr<BatchEngine>> engines_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::shared_ptr<Sample>> samples_;
};

//! Adds up the figures of several seeds; prints one line.
void PrintFigures(const char* name, const std::vector<Figures>& all) {
  Figures sum;
  for (const Figures& it : all) {
    const auto n = static_cast<double>(all.size());
    sum.count += it.count;
    sum.p50 += it.p50 / n;
    sum.p99 += it.p99 / n;
    sum.late_gaps += it.late_gaps / n;
    sum.within += it.within / n;
  }
  std::printf("| %s | %zu | %.0f | %.0f | %.4f | %.4f |\n", name, sum.count,
              sum.p50, sum.p99, sum.late_gaps, sum.within);
}

//! Fractions of requests within their targets.
struct Within {
  double all = 0;
  double largest = 0;  //!< Of the largest tenth.
};

//! Runs the model with several seeds and prints the figures. Returns the mean
//! of the seeds.
Within Compare(const Workload& workload, uint64_t seeds) {
  std::vector<std::vector<Figures>> rows(7);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    LongPromptModel model(workload, seed);
    model.Run();
    const int64_t tenth = model.Quantile(0.1);
    const int64_t fifth = model.Quantile(0.3);
    rows[0].push_back(model.Count([](const Sample&) { return true; }));
    for (size_t kind = 0; kind < 3; ++kind) {
      rows[1 + kind].push_back(
          model.Count([&](const Sample& it) { return it.kind == kind; }));
    }
    rows[4].push_back(
        model.Count([&](const Sample& it) { return it.tokens >= tenth; }));
    rows[5].push_back(model.Count([&](const Sample& it) {
      return it.tokens < tenth && it.tokens >= fifth;
    }));
    rows[6].push_back(
        model.Count([&](const Sample& it) { return it.tokens < fifth; }));
  }
  std::printf("%s, %.0f requests a second, %.2f long%s\n", workload.name,
              workload.requests_per_second, workload.kinds[0].ratio,
              workload.measures ? "" : ", speeds not measured");
  const std::vector<const char*> names = {
      "all",           "long",        "short",   "medium",
      "largest tenth", "fifth below", "the rest"};
  for (size_t i = 0; i < rows.size(); ++i) {
    PrintFigures(names[i], rows[i]);
  }
  Within within;
  for (size_t seed = 0; seed < seeds; ++seed) {
    within.all += rows[0][seed].within / static_cast<double>(seeds);
    within.largest += rows[4][seed].within / static_cast<double>(seeds);
  }
  return within;
}

// With measured speeds alone, all instances sent the sessions of slower engines
// to the one that appeared to be the fastest: 0.55 and 0.74 within target.
TEST(LongPromptsTest, BothKindsMeetTheirTargetsNearTheCapacity) {
  EXPECT_GT(Compare(FastPrefill(450), 1).all, 0.98);
  EXPECT_GT(Compare(SlowPrefill(240), 1).all, 0.98);
}

// Long prompts went to engines without regard to their pauses, and prompts just
// below the constant that was "long" were not avoided: 0.942 of the largest.
TEST(LongPromptsTest, LargestPromptsMeetTheirTargetsIfThereAreMany) {
  const Within within = Compare(FastPrefill(400, 0.3), 3);
  EXPECT_GT(within.largest, 0.97);
  EXPECT_GT(within.all, 0.975);
}

// Prints the table of docs/design/long-prompts.md; takes a minute.
TEST(LongPromptsTest, DISABLED_Table) {
  for (const bool measures : {false, true}) {
    for (const double requests_per_second : {250, 350, 450}) {
      Compare(FastPrefill(requests_per_second, 0.15, measures), 3);
    }
    for (const double requests_per_second : {140, 200, 240}) {
      Compare(SlowPrefill(requests_per_second, 0.15, measures), 3);
    }
    Compare(FastPrefill(400, 0.3, measures), 3);
    Compare(SlowPrefill(200, 0.3, measures), 3);
  }
}

}  // namespace
}  // namespace tamaracktrail
