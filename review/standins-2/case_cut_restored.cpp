// The store comes back from a copy some seconds old while one machine is cut
// from it. Usage: case_cut_restored FOLDER RECORD TROUBLE

#include <cstdio>

#include "client.h"
#include "config.h"
#include "engine.h"

namespace review {
namespace {

constexpr long long kPrepaid = 600000;
constexpr int kPromptTokens = 1500;
constexpr int kEvents = 70;
constexpr int kTokensPerEvent = 5;
constexpr int64_t kRequestEveryMs = 45;
//! Age of the copy when the store comes back.
constexpr int64_t kCopyAgeMs = 5000;
//! Time for which the store is away.
constexpr int64_t kAwayMs = 1000;
//! The tenant's clients come for this time before the cut.
constexpr int64_t kBeforeCutMs = 800;
constexpr int64_t kCutMs = 5500;
constexpr int64_t kAfterMs = 9000;

struct Fleet {
  Fleet(Store* store, Record* record, const std::string& folder) {
    static const char* const kZones[] = {"amman-a", "amman-b", "amman-c"};
    for (int i = 0; i < 3; ++i) {
      Engine::Options options;
      options.id = "i-engine" + std::to_string(i + 1);
      options.service = "assist-llm";
      options.zone = kZones[i];
      options.streams = true;
      options.work_ms = 30;
      options.events = kEvents;
      options.event_gap_ms = 5;
      engines.push_back(std::make_unique<Engine>(store, record, options));
      links.push_back(store->AddLink());
      fronts.push_back(std::make_unique<Front>(record, links[i], folder,
                                               "front-" + std::to_string(i + 1),
                                               kZones[i]));
    }
  }
  void SetSilent(bool on) {
    for (Store::Link* it : links) {
      it->silent = on;
    }
  }

  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<Store::Link*> links;
  std::vector<std::unique_ptr<Front>> fronts;
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
  store.Put("keyed.op", "config", ConfigText(7, kPrepaid));
  Fleet fleet(&store, &record, folder);
  for (const auto& it : fleet.fronts) {
    it->Start(true);
  }
  for (const auto& it : fleet.fronts) {
    it->AwaitReady();
  }
  SleepMs(3000);
  Clients clients;
  std::atomic<bool> stop{false};
  std::atomic<int> number{0};
  const auto traffic = [&](size_t front) {
    while (!stop) {
      clients.Run([&record, &fleet, front, n = number++] {
        char id[32];
        char part[32];
        snprintf(id, sizeof(id), "req-%06d", n);
        snprintf(part, sizeof(part), "%08x", 0x10000 + n);
        return Send(&record, *fleet.fronts[front], id,
                    {ReportHead(part, kPromptTokens, kEvents * kTokensPerEvent),
                     "draft " + std::string(id)});
      });
      SleepMs(kRequestEveryMs);
    }
  };
  record.Line("a copy of the store is taken");
  store.TakeCopy();
  SleepMs(kCopyAgeMs - kAwayMs - kBeforeCutMs);
  record.Line("the tenant's clients come to front-1");
  std::thread first([&] { traffic(0); });
  SleepMs(kBeforeCutMs);
  const int64_t cut_at = NowMs();
  if (trouble) {
    record.Line("front-1 is cut from the store; the store is away");
    fleet.SetSilent(true);
    SleepMs(kAwayMs);
    store.Restore();
    fleet.links[1]->silent = false;
    fleet.links[2]->silent = false;
    record.Line("the store is back from the copy; front-1 is still cut off");
  } else {
    SleepMs(kAwayMs);
  }
  record.Line("the tenant's clients come to front-2 and front-3, too");
  std::thread second([&] { traffic(1); });
  std::thread third([&] { traffic(2); });
  SleepUntil(cut_at + kCutMs);
  fleet.links[0]->silent = false;
  record.Line("front-1 reaches the store again");
  SleepMs(kAfterMs);
  stop = true;
  first.join();
  second.join();
  third.join();
  const std::vector<Attempt> attempts = clients.Join();
  for (const auto& it : fleet.fronts) {
    it->Kill();
  }
  long long delivered = 0;
  std::map<std::string, long long> by_front;
  for (const Attempt& it : attempts) {
    delivered += TokensOf(it);
    by_front[it.front] += TokensOf(it);
  }
  std::string sum = std::to_string(attempts.size()) +
                    " requests; the tenant got " + std::to_string(delivered) +
                    " tokens of its prepaid " + std::to_string(kPrepaid);
  for (const auto& [front, tokens] : by_front) {
    sum += ", " + std::to_string(tokens) + " from " + front;
  }
  record.Line(sum);
  printf("%s\n", sum.c_str());
  if (delivered < kPrepaid / 2) {
    throw CaseError("too few requests were served");
  }
  return delivered > kPrepaid ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  try {
    if (argc != 4) {
      throw review::CaseError("usage: case_cut_restored FOLDER RECORD TROUBLE");
    }
    return review::Run(argv[1], argv[2], std::string(argv[3]) != "0");
  } catch (const std::exception& error) {
    fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
