// A machine is stopped and started in order while the store is silent.
// Usage: case_restarts FOLDER RECORD TROUBLE

#include <cstdio>

#include "client.h"
#include "config.h"
#include "engine.h"

namespace review {
namespace {

constexpr int kFronts = 3;
constexpr int kTenantCount = 2;
constexpr long long kPrepaid = 600000;
constexpr int kPromptTokens = 1500;
constexpr int kEvents = 60;
constexpr int kTokensPerEvent = 5;
//! Clients state more output than their streams have.
constexpr int kMaxOutput = 500;
constexpr int64_t kSilenceMs = 4500;
constexpr int64_t kBeforeTermMs = 1000;
constexpr int64_t kGraceMs = 8000;
constexpr int64_t kDownMs = 500;
//! Between two requests of a tenant, before and after the restarts.
constexpr int64_t kUsualEveryMs = 150;
constexpr int64_t kHotEveryMs = 25;
constexpr int64_t kHotMs = 16000;

//! The platform's balancer: a front that misses two questions in a row gets no
//! new connections until it says again that it is ready.
class Balancer {
 public:
  explicit Balancer(std::vector<std::unique_ptr<Front>>* fronts)
      : fronts_(fronts) {
    for (int i = 0; i < kFronts; ++i) {
      threads_.emplace_back([this, i] {
        int misses = 0;
        while (!stop_) {
          const int64_t at = NowMs();
          misses = (*fronts_)[i]->Ready() ? 0 : misses + 1;
          in_rotation_[i] = misses < 2;
          SleepUntil(at + 1000);
        }
      });
    }
  }
  ~Balancer() {
    stop_ = true;
    for (std::thread& it : threads_) {
      it.join();
    }
  }

  Front& Choose(int n) {
    for (int i = 0; i < kFronts; ++i) {
      if (in_rotation_[(n + i) % kFronts]) {
        return *(*fronts_)[(n + i) % kFronts];
      }
    }
    return *(*fronts_)[n % kFronts];
  }

 private:
  std::vector<std::unique_ptr<Front>>* fronts_;
  std::atomic<bool> stop_{false};
  std::atomic<bool> in_rotation_[kFronts] = {true, true, true};
  std::vector<std::thread> threads_;
};

//! Tokens that a client got: the prompt once an event has come, and the events.
long long TokensOf(const Attempt& attempt) {
  long long events = 0;
  for (size_t at = 0;
       (at = attempt.response.body.find("\n\n", at)) != std::string::npos;
       at += 2) {
    ++events;
  }
  return events == 0 ? 0 : kPromptTokens + events * kTokensPerEvent;
}

int Run(const std::string& folder, const std::string& path, bool trouble) {
  Record record(path);
  Store store;
  store.Put("keyed.op", "config", ConfigText(7, kPrepaid, kTenantCount));
  static const char* const kZones[] = {"amman-a", "amman-b", "amman-c"};
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<Store::Link*> links;
  std::vector<std::unique_ptr<Front>> fronts;
  for (int i = 0; i < kFronts; ++i) {
    Engine::Options options;
    options.id = "i-engine" + std::to_string(i + 1);
    options.service = "assist-llm";
    options.zone = kZones[i];
    options.streams = true;
    options.work_ms = 30;
    options.events = kEvents;
    options.event_gap_ms = 40;
    engines.push_back(std::make_unique<Engine>(&store, &record, options));
    links.push_back(store.AddLink());
    fronts.push_back(std::make_unique<Front>(&record, links[i], folder,
                                             "front-" + std::to_string(i + 1),
                                             kZones[i]));
    fronts[i]->Start(true);
  }
  for (const auto& it : fronts) {
    it->AwaitReady();
  }
  auto balancer = std::make_unique<Balancer>(&fronts);
  Clients clients;
  std::atomic<bool> stop{false};
  std::atomic<int64_t> every{kUsualEveryMs};
  // Only cedar's clients send while the machines are restarted.
  std::atomic<int> sending{kTenantCount};
  std::thread traffic([&] {
    for (int n = 0; !stop; ++n) {
      for (int i = 0; i < sending; ++i) {
        clients.Run([&record, &balancer, n, i] {
          const std::string tenant = kTenants[i];
          char id[32];
          char part[32];
          snprintf(id, sizeof(id), "%s-%06d", tenant.c_str(), n);
          snprintf(part, sizeof(part), "%02x%06x", i + 1, n);
          return Send(&record, balancer->Choose(n), id,
                      {ReportHead(part, kPromptTokens, kMaxOutput, tenant),
                       "draft " + std::string(id)});
        });
      }
      SleepMs(every);
    }
  });
  SleepMs(5000);
  sending = 1;
  const int64_t silent_at = NowMs();
  if (trouble) {
    record.Line("the store is silent");
    for (Store::Link* it : links) {
      it->silent = true;
    }
  }
  // A planned restart: front-1 gets SIGTERM, ends within the grace period, and
  // is started again a moment later.
  SleepMs(kBeforeTermMs);
  const int64_t term_at = NowMs();
  fronts[0]->Terminate();
  SleepUntil(silent_at + kSilenceMs);
  if (trouble) {
    record.Line("the store is back");
    for (Store::Link* it : links) {
      it->silent = false;
    }
  }
  while (fronts[0]->Running() && NowMs() < term_at + kGraceMs) {
    SleepMs(10);
  }
  fronts[0]->Kill();
  record.Line("front-1 has ended");
  SleepMs(kDownMs);
  fronts[0]->Start(false);
  record.Line("the tenants send more than usual");
  sending = kTenantCount;
  every = kHotEveryMs;
  SleepMs(kHotMs);
  stop = true;
  traffic.join();
  const std::vector<Attempt> attempts = clients.Join();
  balancer.reset();
  for (const auto& it : fronts) {
    it->Kill();
  }
  std::map<std::string, long long> delivered;
  for (const Attempt& it : attempts) {
    delivered[it.id.substr(0, it.id.find('-'))] += TokensOf(it);
  }
  bool broken = false;
  bool served = true;
  std::string sum = std::to_string(attempts.size()) + " requests;";
  for (const auto& [tenant, tokens] : delivered) {
    sum += " " + tenant + " got " + std::to_string(tokens) + " of " +
           std::to_string(kPrepaid) + ",";
    broken = broken || tokens > kPrepaid;
    served = served && tokens > kPrepaid / 2;
  }
  sum.back() = '.';
  record.Line(sum);
  printf("%s\n", sum.c_str());
  if (!served) {
    throw CaseError("too few requests were served");
  }
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  try {
    if (argc != 4) {
      throw review::CaseError("usage: case_restarts FOLDER RECORD TROUBLE");
    }
    return review::Run(argv[1], argv[2], std::string(argv[3]) != "0");
  } catch (const std::exception& error) {
    fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
