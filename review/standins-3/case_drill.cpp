// A drill of the store: it is away for a moment and comes back from a copy some
// seconds old, while a tenant uses up its prepaid budget.
//   case_drill FRONT ENGINE FOLDER RECORD
#include <algorithm>
#include <memory>

#include "world.h"

using namespace review;

namespace {

constexpr int kFronts = 8;
constexpr int kEngines = 7;
constexpr int kEvents = 4;
constexpr int kGapMs = 20;
constexpr int kTokensPerEvent = 5;
constexpr int kPromptTokens = 1460;
constexpr int kClients = 40;

int Setting(const char* name, int fallback) {
  const char* text = getenv(name);
  return text == nullptr ? fallback : atoi(text);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const std::string front_binary = argv[1];
  const std::string engine_binary = argv[2];
  const std::string folder = argv[3];
  Record record(argv[4]);
  const bool trouble = TroubleOn();
  const long long prepaid = Setting("PREPAID", 2500000);
  const int copy_age_ms = Setting("COPY_AGE", 3000);
  const int away_ms = Setting("AWAY", 1000);
  const int kills = Setting("KILLS", 0);
  const int copy_at_ms = Setting("COPY_AT", 6000);
  const bool drill = Setting("DRILL", 1) == 1;
  const int after_ms = Setting("AFTER", 25000);
  record.Add("trouble %s, prepaid %lld", trouble ? "on" : "off", prepaid);

  Store store;
  store.Put("keyed.op", "config", Config(7, "", prepaid));
  const char* zones[] = {"amman-a", "amman-b", "amman-c"};
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<std::unique_ptr<Process>> engines;
  for (int i = 0; i < kEngines; ++i) {
    const int port = FreePort();
    const std::string id = "i-7f3a91c" + std::to_string(i);
    engines.push_back(std::make_unique<Process>());
    engines.back()->Start(
        {engine_binary, std::to_string(port), id, folder + "/engines.txt",
         std::to_string(kEvents), std::to_string(kGapMs), "chunks"},
        folder + "/engine.log");
    entries.push_back(std::make_unique<Entry>(&store, id, "assist",
                                              zones[i % 3], port, 64));
    entries.back()->Beat();
  }
  std::atomic<bool> stop{false};
  std::thread beats([&] {
    while (!stop) {
      SleepMs(1200);
      for (auto& it : entries) {
        it->Beat();
      }
    }
  });

  Front fronts[kFronts];
  std::atomic<bool> up[kFronts];
  for (int i = 0; i < kFronts; ++i) {
    PrepareFront(&fronts[i], folder,
                 "front-" + std::string(zones[i % 3]) + "-" +
                     std::to_string(i / 3 + 1),
                 zones[i % 3]);
    WriteSettings(fronts[i], store.port(), true);
    StartFront(&fronts[i], front_binary);
    up[i] = true;
  }
  bool ready = true;
  for (const Front& it : fronts) {
    ready = ready && WaitReady(it, 15000);
    WriteSettings(it, store.port(), false);
  }
  if (!ready) {
    record.Add("the instances did not become ready");
    stop = true;
    beats.join();
    return 2;
  }
  SleepMs(2000);

  std::atomic<long long> used{0};
  std::atomic<int> served{0};
  std::atomic<int> refused402{0};
  std::atomic<int> refused503{0};
  std::atomic<int> other{0};
  std::atomic<long long> over_at{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        const int f = (i + n) % kFronts;
        if (!up[f]) {
          SleepMs(20);
          continue;
        }
        char id[32];
        snprintf(id, sizeof(id), "%02x%05x7be2a3", i, n);
        const Answer it =
            Fetch(fronts[f].callers,
                  StreamRequest("/lohu930/2f", id, 3000, kEvents * kTokensPerEvent),
                  4000);
        const int events = static_cast<int>(EventIds(it.body).size());
        if (it.status == 200 && events > 0) {
          // The prompt counts once, and output tokens that were delivered.
          const long long tokens = kPromptTokens + events * kTokensPerEvent;
          const long long sum = used += tokens;
          ++served;
          if (sum > prepaid && sum - tokens <= prepaid) {
            record.Add("delivered tokens exceed the budget: %lld of %lld", sum,
                       prepaid);
          }
        } else if (it.status == 402) {
          ++refused402;
          SleepMs(200);
        } else if (it.status == 503) {
          ++refused503;
          SleepMs(100);
        } else {
          ++other;
        }
        SleepMs(150);
      }
    });
  }
  std::thread reporter([&] {
    while (!stop) {
      record.Add("served %d, tokens %lld, 402 %d, 503 %d, other %d",
                 served.load(), used.load(), refused402.load(),
                 refused503.load(), other.load());
      SleepMs(1000);
    }
  });

  SleepMs(copy_at_ms);
  const auto copy = store.MakeCopy();
  record.Add("a copy of the store is made");
  SleepMs(copy_age_ms);
  if (trouble) {
    if (drill) {
      store.GoAway();
      record.Add("the store is away");
    }
    for (int i = 0; i < kills; ++i) {
      up[i] = false;
      fronts[i].process.Kill();
      record.Add("%s is killed", fronts[i].name.c_str());
    }
    SleepMs(away_ms);
    if (drill) {
      store.ComeBack(*copy);
      record.Add("the store is back from a copy that is %d ms old",
                 copy_age_ms + away_ms);
    }
    for (int i = 0; i < kills; ++i) {
      StartFront(&fronts[i], front_binary);
      up[i] = true;
      record.Add("%s is started again", fronts[i].name.c_str());
    }
  }
  SleepMs(after_ms);
  stop = true;
  for (std::thread& it : clients) {
    it.join();
  }
  reporter.join();
  beats.join();
  record.Add("served %d, delivered %lld of %lld prepaid tokens, 402 %d, 503 "
             "%d, other %d",
             served.load(), used.load(), prepaid, refused402.load(),
             refused503.load(), other.load());
  for (Front& it : fronts) {
    it.process.Kill();
  }
  if (used > prepaid) {
    record.Add("the tenant got %lld tokens more than its prepaid",
               used - prepaid);
    return 1;
  }
  return 0;
}
