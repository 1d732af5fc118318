// An engine leaves and says so in all its answers while all machines are cut
// from the store. Usage: case_leaving FOLDER RECORD TROUBLE

#include <cstdio>

#include "client.h"
#include "config.h"
#include "engine.h"

namespace review {
namespace {

constexpr int64_t kDrainMs = 2000;
//! The longest cut of all machines from the store on the site's days.
constexpr int64_t kCutMs = 8300;
//! The engine goes on for drain_ms and a little longer, then exits.
constexpr int64_t kServesOnMs = kDrainMs + 2000;
constexpr int64_t kRequestEveryMs = 60;

int Run(const std::string& folder, const std::string& path, bool trouble) {
  Record record(path);
  Store store;
  store.Put("keyed.op", "config", ConfigText(7, 50000000));
  std::vector<Store::Link*> links;
  std::vector<std::unique_ptr<Front>> fronts;
  const char* const zones[] = {"amman-a", "amman-b", "amman-c"};
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 3; ++i) {
    Engine::Options options;
    options.id = "i-engine" + std::to_string(i + 1);
    options.service = "assist-llm";
    options.zone = zones[i];
    options.streams = true;
    options.work_ms = 60;
    options.events = 70;
    engines.push_back(std::make_unique<Engine>(&store, &record, options));
  }
  for (int i = 0; i < 3; ++i) {
    links.push_back(store.AddLink());
    fronts.push_back(std::make_unique<Front>(
        &record, links[i], folder, "front-" + std::to_string(i + 1), zones[i]));
    fronts[i]->Start(true);
  }
  for (const auto& it : fronts) {
    it->AwaitReady();
  }
  Clients clients;
  std::atomic<bool> stop{false};
  std::thread traffic([&] {
    for (int n = 0; !stop; ++n) {
      clients.Run([&record, &fronts, n] {
        char id[32];
        char part[32];
        snprintf(id, sizeof(id), "req-%06d", n);
        snprintf(part, sizeof(part), "%08x", 0x10000 + n);
        return Send(&record, *fronts[n % 3], id,
                    {ReportHead(part, 1500, 350), "draft " + std::string(id)});
      });
      SleepMs(kRequestEveryMs);
    }
  });
  SleepMs(4000);
  if (trouble) {
    record.Line("all fronts are cut from the store");
    for (Store::Link* it : links) {
      it->silent = true;
    }
  }
  const int64_t cut_at = NowMs();
  SleepMs(300);
  engines[0]->StartLeaving();
  SleepMs(kServesOnMs);
  engines[0]->Exit();
  SleepUntil(cut_at + kCutMs);
  if (trouble) {
    record.Line("the store is back for all fronts");
    for (Store::Link* it : links) {
      it->silent = false;
    }
  }
  SleepMs(2000);
  stop = true;
  traffic.join();
  const std::vector<Attempt> attempts = clients.Join();

  // DRAIN: a request that a client sent later than drain_ms after a machine had
  // passed on an answer with Server-Leaving reaches that engine from it. The
  // client that has the head of such an answer shows when, a little too late.
  const std::string leaving = engines[0]->options().id;
  std::map<std::string, std::string> engine_of;
  for (const Record::Run& it : record.runs()) {
    engine_of[it.request] = it.engine;
  }
  std::map<std::string, int64_t> told_at;
  for (const Attempt& it : attempts) {
    if (it.response.fields.Has("Server-Leaving")) {
      const auto known = told_at.find(it.front);
      if (known == told_at.end() || it.response.head_at < known->second) {
        told_at[it.front] = it.response.head_at;
      }
    }
  }
  int served = 0;
  int late = 0;
  int lost = 0;
  for (const Attempt& it : attempts) {
    served += it.response.status == 200 && it.response.complete;
    const auto told = told_at.find(it.front);
    if (told == told_at.end() || it.sent_at <= told->second + kDrainMs ||
        engine_of[it.id] != leaving) {
      continue;
    }
    ++late;
    lost += !it.response.complete || it.response.status != 200;
    record.Line("DRAIN: " + it.id + " reached " + leaving + " from " +
                it.front + ", sent " +
                std::to_string(it.sent_at - told->second) +
                " ms after it had passed on Server-Leaving; answer " +
                (it.response.complete ? "whole" : "broken off"));
  }
  for (const auto& it : fronts) {
    it->Kill();
  }
  const std::string sum = std::to_string(attempts.size()) + " requests, " +
                          std::to_string(served) + " served; " +
                          std::to_string(late) +
                          " reached the leaving engine later " +
                          "than drain_ms after its notice, " +
                          std::to_string(lost) + " of them got no whole answer";
  record.Line(sum);
  printf("%s\n", sum.c_str());
  if (served < 50) {
    throw CaseError("too few requests were served");
  }
  return late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  try {
    if (argc != 4) {
      throw review::CaseError("usage: case_leaving FOLDER RECORD TROUBLE");
    }
    return review::Run(argv[1], argv[2], std::string(argv[3]) != "0");
  } catch (const std::exception& error) {
    fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
