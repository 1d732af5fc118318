// Many users come at once; each sends one request and keeps its connection for
// the next one. Usage: case_crowd FOLDER RECORD TROUBLE

#include <sys/resource.h>

#include <cstdio>

#include "client.h"
#include "config.h"
#include "engine.h"

namespace review {
namespace {

constexpr int64_t kContactMs = 3000;
//! Clients reuse connections that were idle for up to four fifths of
//! idle_timeout_ms.
constexpr int64_t kKeepMs = 12000;
constexpr int64_t kCrowdMs = 6500;
constexpr int64_t kUsualEveryMs = 47;  // 21 requests a second.
constexpr int kCrowdPerS = 320;
constexpr int kCrowdThreads = 4;
constexpr size_t kClientsThatTry = 7;

int Run(const std::string& folder, const std::string& path, bool trouble) {
  const rlimit files{8192, 8192};
  setrlimit(RLIMIT_NOFILE, &files);
  Record record(path);
  Store store;
  store.Put("keyed.op", "config", ConfigText(7, 50000000));
  std::vector<std::unique_ptr<Engine>> engines;
  const char* const zones[] = {"amman-a", "amman-b", "amman-c"};
  for (int i = 0; i < 3; ++i) {
    Engine::Options options;
    options.id = "i-school" + std::to_string(i + 1);
    options.service = "school-app";
    options.zone = zones[i];
    options.slots = 6;
    options.work_ms = 1;
    engines.push_back(std::make_unique<Engine>(&store, &record, options));
  }
  Front front(&record, store.AddLink(), folder, "front-1", "amman-a");
  front.Start(true);
  front.AwaitReady();
  SleepMs(2000);

  struct Try {
    int64_t at;
    bool taken;
  };
  std::mutex mutex;
  std::vector<Try> tries;
  std::vector<int64_t> not_ready;
  std::atomic<bool> stop{false};
  const std::string head =
      "GET /grade/look HTTP/1.1\r\nHost: school.example\r\n"
      "Authorization: Bearer cedar-key\r\n";
  Clients clients;
  std::thread usual([&] {
    for (int n = 0; !stop; ++n) {
      clients.Run([&, n] {
        const Attempt attempt =
            Send(&record, front, "usual-" + std::to_string(n), {head, "", 600});
        const std::lock_guard<std::mutex> lock(mutex);
        tries.push_back({attempt.sent_at, attempt.response.status != 0});
        return attempt;
      });
      SleepMs(kUsualEveryMs);
    }
  });
  std::thread balancer([&] {
    while (!stop) {
      const int64_t at = NowMs();
      if (!front.Ready()) {
        record.Line("the front does not say that it is ready");
        const std::lock_guard<std::mutex> lock(mutex);
        not_ready.push_back(at);
      }
      SleepUntil(at + 1000);
    }
  });
  SleepMs(2000);
  // The crowd: some threads open connections, one closes what was kept for long
  // enough.
  std::vector<std::pair<int64_t, std::unique_ptr<Connection>>> kept;
  const int64_t crowd_at = NowMs();
  if (trouble) {
    record.Line("the crowd comes");
    std::vector<std::thread> openers;
    for (int i = 0; i < kCrowdThreads; ++i) {
      openers.emplace_back([&, i] {
        for (int n = i; NowMs() < crowd_at + kCrowdMs; n += kCrowdThreads) {
          SleepUntil(crowd_at + n * 1000 / kCrowdPerS);
          auto connection = Connection::To(front.callers());
          if (connection == nullptr) {
            continue;
          }
          connection->Write(head + "X-Request-Id: crowd-" + std::to_string(n) +
                            "\r\nX-Request-Deadline: 600\r\n\r\n");
          if (connection->ReadResponse(NowMs() + 600).status == 200) {
            const std::lock_guard<std::mutex> lock(mutex);
            kept.emplace_back(NowMs(), std::move(connection));
          }
        }
      });
    }
    for (std::thread& it : openers) {
      it.join();
    }
    record.Line("the crowd is complete, " + std::to_string(kept.size()) +
                " of its connections are kept");
  }
  const int64_t until = crowd_at + 24000;
  while (NowMs() < until) {
    while (!kept.empty() && NowMs() >= kept.front().first + kKeepMs) {
      kept.erase(kept.begin());
    }
    SleepMs(20);
  }
  stop = true;
  usual.join();
  balancer.join();
  clients.Join();
  const bool running = front.Running();
  front.Kill();

  // RECOVER: the longest span in which the front took none of the new
  // connections, though it said that it was ready.
  std::sort(tries.begin(), tries.end(),
            [](const Try& a, const Try& b) { return a.at < b.at; });
  int64_t longest = 0;
  size_t most = 0;
  int64_t since = 0;
  size_t n = 0;
  size_t taken = 0;
  for (const Try& it : tries) {
    taken += it.taken;
    if (it.taken) {
      n = 0;
      continue;
    }
    if (n++ == 0) {
      since = it.at;
    }
    const bool ready =
        std::none_of(not_ready.begin(), not_ready.end(),
                     [&](int64_t at) { return at >= since && at <= it.at; });
    if (ready && it.at - since > longest) {
      longest = it.at - since;
      most = n;
    }
  }
  const std::string sum =
      std::to_string(taken) + " of " + std::to_string(tries.size()) +
      " usual clients were taken; for " + std::to_string(longest) +
      " ms none of " + std::to_string(most) +
      " was, while the front said that it was ready";
  record.Line(sum);
  printf("%s\n", sum.c_str());
  if (!running || taken < 50) {
    throw CaseError("the front did not serve");
  }
  return longest >= kContactMs && most >= kClientsThatTry ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  try {
    if (argc != 4) {
      throw review::CaseError("usage: case_crowd FOLDER RECORD TROUBLE");
    }
    return review::Run(argv[1], argv[2], std::string(argv[3]) != "0");
  } catch (const std::exception& error) {
    fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
