// Case 11: an engine answers one stream with line ends without end.
//   case_endless FRONT ENGINE FOLDER RECORD
#include <algorithm>
#include <memory>

#include "world.h"

using namespace review;

namespace {

constexpr int kEngines = 10;  // Seven of the models, three of the school.
constexpr int kModels = 7;
constexpr int kEvents = 20;
constexpr int kGapMs = 50;
constexpr int kOddAnswer = 21;   // Of the first engine.
constexpr int kTimeoutMs = 600;  // Of the routes of the school.
constexpr int kSlackMs = 500;
constexpr int kClients = 12;
constexpr int kStreamClients = 24;
constexpr int kTrafficMs = 30000;

std::string PlainRequest(const char* path, const std::string& id) {
  return std::string("POST ") + path +
         " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id +
         "\r\nX-Request-Deadline: 3000\r\nAuthorization: Bearer " + kKey +
         "\r\nContent-Length: 4\r\n\r\nbody";
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
    engines.back()->Start({engine_binary, std::to_string(port), id, runs,
                           std::to_string(kEvents), std::to_string(kGapMs),
                           "chunks", std::to_string(trouble ? kOddAnswer : 0)},
                          folder + "/engine.log");
    entries.push_back(
        std::make_unique<Entry>(&store, id, i < kModels ? "assist" : "school",
                                zones[i % 3], port, i < kModels ? 64 : 6));
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
  SleepMs(2000);

  // Requests at the school that are unanswered at their route's timeout, and of
  // these the ones without an answer half a second later, by instance.
  std::atomic<int> late[2] = {0, 0};
  std::atomic<int> unanswered[2] = {0, 0};
  std::atomic<int> answered{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        char id[32];
        snprintf(id, sizeof(id), "%02x%05xfee2a3", i, n);
        const long long sent = NowMs();
        const Answer it = Fetch(
            fronts[i % 2].callers,
            PlainRequest(i % 4 < 2 ? "/puxa403/2f" : "/cufi504/2f", id), 3000);
        const long long ms = NowMs() - sent;
        answered += it.end == "complete" ? 1 : 0;
        if (ms > kTimeoutMs) {
          ++late[i % 2];
          unanswered[i % 2] += ms > kTimeoutMs + kSlackMs ? 1 : 0;
          record.Add("client %s at %s: status %d, %s after %lld ms", id,
                     fronts[i % 2].name.c_str(), it.status, it.end.c_str(), ms);
        }
        SleepMs(250);
      }
    });
  }
  for (int i = 0; i < kStreamClients; ++i) {
    clients.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        char id[32];
        snprintf(id, sizeof(id), "%03x%04x0be2a3", 0x9c4 + i, n);
        Fetch(fronts[i % 2].callers,
              StreamRequest("/lohu930/2f", id, 15000, kEvents * 5), 16000);
        SleepMs(50);
      }
    });
  }
  std::thread health([&] {
    while (!stop) {
      for (Front& it : fronts) {
        if (!it.process.running()) {
          record.Add("%s has ended, status %d", it.name.c_str(),
                     it.process.status());
        } else if (!IsReady(it.ready)) {
          record.Add("%s: no 200 to a question for its readiness in 0.5 s",
                     it.name.c_str());
        }
      }
      SleepMs(1000);
    }
  });
  SleepMs(kTrafficMs);
  stop = true;
  for (std::thread& it : clients) {
    it.join();
  }
  health.join();
  beats.join();

  std::ifstream in(runs);
  for (std::string line; std::getline(in, line);) {
    if (line.find("without end") != std::string::npos) {
      record.Add("engine record: %s", line.c_str());
    }
  }
  bool broken = false;
  for (int i = 0; i < 2; ++i) {
    record.Add(
        "%s: %d requests unanswered at %d ms, %d of them without an "
        "answer %d ms later",
        fronts[i].name.c_str(), late[i].load(), kTimeoutMs,
        unanswered[i].load(), kSlackMs);
    broken = broken || (late[i] >= 8 && unanswered[i] * 2 > late[i]);
  }
  record.Add("%d requests answered", answered.load());
  for (Front& it : fronts) {
    it.process.Kill();
  }
  return broken ? 1 : 0;
}
