// A drill of the store: it is away for a moment and comes back from a copy some
// seconds old, while a tenant uses up its prepaid budget. All instances are
// killed when it goes away and started again when it is back.
//   case_drill FRONT ENGINE FOLDER RECORD
// DRILL=0 leaves the drill out, KILLS=0 the kills.
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
constexpr long long kPrepaid = 2000000;
constexpr int kCopyAtMs = 300;    // After the tenant's first request.
constexpr int kCopyAgeMs = 3000;  // When the store goes away.
constexpr int kAwayMs = 1000;
constexpr int kAfterMs = 16000;

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
  const bool drill = Setting("DRILL", 1) == 1;
  const int kills = Setting("KILLS", kFronts);
  record.Add("trouble %s, prepaid %lld", trouble ? "on" : "off", kPrepaid);

  Store store;
  store.Put("keyed.op", "config", Config(7, "", kPrepaid));
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
          if (sum > kPrepaid && sum - tokens <= kPrepaid) {
            record.Add("delivered tokens exceed the budget: %lld of %lld", sum,
                       kPrepaid);
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

  SleepMs(kCopyAtMs);
  const auto copy = store.MakeCopy();
  record.Add("a copy of the store is made");
  SleepMs(kCopyAgeMs);
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
    SleepMs(kAwayMs);
    if (drill) {
      store.ComeBack(*copy);
      record.Add("the store is back from a copy that is %d ms old",
                 kCopyAgeMs + kAwayMs);
    }
    for (int i = 0; i < kills; ++i) {
      StartFront(&fronts[i], front_binary);
      up[i] = true;
      record.Add("%s is started again", fronts[i].name.c_str());
    }
  }
  SleepMs(kAfterMs);
  stop = true;
  for (std::thread& it : clients) {
    it.join();
  }
  reporter.join();
  beats.join();
  record.Add("served %d, delivered %lld of %lld prepaid tokens, 402 %d, 503 "
             "%d, other %d",
             served.load(), used.load(), kPrepaid, refused402.load(),
             refused503.load(), other.load());
  for (Front& it : fronts) {
    it.process.Kill();
  }
  if (used > kPrepaid) {
    record.Add("the tenant got %lld tokens more than its prepaid",
               used - kPrepaid);
    return 1;
  }
  return 0;
}
