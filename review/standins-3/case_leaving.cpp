// Case 12: an engine leaves while streams run on it, as PROTOCOL.md tells it:
// its entry is removed, it serves for drain_ms and a little longer, and exits.
//   case_leaving FRONT ENGINE FOLDER RECORD
#include <algorithm>
#include <memory>

#include "world.h"

using namespace review;

namespace {

constexpr int kEvents = 76;
constexpr int kGapMs = 100;
constexpr int kDrainMs = 2000;
constexpr int kLittleLongerMs = 800;
constexpr int kStreams = 21;
// One of seven leaves: a share of 0.143.
constexpr int kEngines = 7;

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
  record.Add("trouble %s", trouble ? "on" : "off");

  Store store;
  store.Put("keyed.op", "config", Config(7));
  const char* zones[] = {"amman-a", "amman-b", "amman-c"};
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<std::unique_ptr<Process>> engines;
  const std::string runs = folder + "/engines.txt";
  for (int i = 0; i < kEngines; ++i) {
    const int port = FreePort();
    const std::string id = "i-7f3a91c" + std::to_string(i);
    engines.push_back(std::make_unique<Process>());
    engines.back()->Start(
        {engine_binary, std::to_string(port), id, runs, std::to_string(kEvents),
         std::to_string(kGapMs), "connection"},
        folder + "/engine.log");
    entries.push_back(
        std::make_unique<Entry>(&store, id, "assist", zones[i % 3], port, 64));
    entries.back()->Beat();
  }
  std::mutex mutex;
  std::vector<bool> listed(kEngines, true);
  std::atomic<bool> stop{false};
  std::thread beats([&] {
    while (!stop) {
      SleepMs(1200);
      std::lock_guard<std::mutex> lock(mutex);
      for (size_t i = 0; i < entries.size(); ++i) {
        if (listed[i]) {
          entries[i]->Beat();
        }
      }
    }
  });

  Front fronts[2];
  for (int i = 0; i < 2; ++i) {
    PrepareFront(&fronts[i], folder, "front-" + std::string(zones[i]) + "-1",
                 zones[i]);
    WriteSettings(fronts[i], store.port(), true);
    StartFront(&fronts[i], front_binary);
  }
  bool ready = true;
  for (const auto& it : entries) {
    ready = ready && WaitListening(it->port());
  }
  for (const Front& it : fronts) {
    ready = ready && WaitReady(it, 15000);
  }
  if (!ready) {
    record.Add("the processes did not become ready");
    stop = true;
    beats.join();
    return 2;
  }
  SleepMs(3000);

  std::vector<Answer> answers(kStreams);
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      char id[32];
      snprintf(id, sizeof(id), "%07xd07be2a3", 0x9c41000 + i);
      // Odd ones on the route whose streams may be resumed.
      const std::string path = i % 4 < 2 ? "/lohu930/2f" : "/pufi791/2f";
      for (int attempt = 0; attempt < 5; ++attempt) {
        snprintf(id, sizeof(id), "%07xd07be2a%d", 0x9c41000 + i, attempt);
        record.Add("client sends %s %s to %s", id, path.c_str(),
                   fronts[i % 2].name.c_str());
        answers[static_cast<size_t>(i)] = Fetch(
            fronts[i % 2].callers,
            StreamRequest(path, id, i % 4 < 2 ? 15000 : 12000, kEvents * 5),
            16000);
        if (answers[static_cast<size_t>(i)].status != 503) {
          break;
        }
        // The client comes back as it was told to, with another id.
        record.Add("client gets %s: status 503", id);
        SleepMs(200);
      }
      const Answer& it = answers[static_cast<size_t>(i)];
      const std::vector<int> ids = EventIds(it.body);
      record.Add(
          "client gets %s: status %d, framing by %s, end %s, %zu events, last "
          "%d of %d",
          id, it.status, it.framing.c_str(), it.end.c_str(), ids.size(),
          ids.empty() ? 0 : ids.back(), kEvents);
    });
    SleepMs(150);
  }
  SleepMs(600);
  if (trouble) {
    // The engine with the most streams.
    std::vector<int> streams(kEngines);
    std::ifstream in(runs);
    for (std::string line; std::getline(in, line);) {
      for (size_t i = 0; i < kEngines; ++i) {
        streams[i] +=
            line.find(entries[i]->id() + " runs") != std::string::npos;
      }
    }
    const auto leaves = static_cast<size_t>(
        std::max_element(streams.begin(), streams.end()) - streams.begin());
    {
      std::lock_guard<std::mutex> lock(mutex);
      listed[leaves] = false;
      entries[leaves]->Remove();
      record.Add("engine %s leaves: its entry is removed, it goes on serving",
                 entries[leaves]->id().c_str());
    }
    SleepMs(kDrainMs + kLittleLongerMs);
    engines[leaves]->Signal(SIGTERM);
    engines[leaves]->Wait(1000);
    record.Add("engine %s exits, %d ms after its entry was removed",
               entries[leaves]->id().c_str(), kDrainMs + kLittleLongerMs);
  }
  for (std::thread& it : clients) {
    it.join();
  }
  stop = true;
  beats.join();

  int served = 0;
  int broken = 0;
  int told = 0;
  for (const Answer& it : answers) {
    const std::vector<int> ids = EventIds(it.body);
    const bool whole = static_cast<int>(ids.size()) == kEvents;
    if (it.status != 200) {
      continue;
    }
    if (whole) {
      ++served;
    } else if (it.end == "complete") {
      ++broken;
    } else {
      ++told;
    }
  }
  std::ifstream in(runs);
  for (std::string line; std::getline(in, line);) {
    record.Add("engine record: %s", line.c_str());
  }
  record.Add(
      "streams: %d whole, %d cut and told so, %d ended as complete "
      "before their last piece",
      served, told, broken);
  for (Front& it : fronts) {
    it.process.Kill();
  }
  if (broken > 0) {
    return 1;
  }
  return trouble || served == kStreams ? 0 : 2;
}
