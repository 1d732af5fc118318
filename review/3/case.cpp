// An endpoint sends bytes that are no answer, without end, where the size of
// the next chunk of a body is due.
#include "fleet.h"

using namespace standin;

int main(int argc, char** argv) {
  // case PROGRAM ENDPOINT FOLDER RECORD TROUBLE ODD
  if (argc < 7) {
    return 2;
  }
  const bool trouble = std::string(argv[5]) != "0";
  const std::string odd = argv[6];
  RecordFile record(argv[4]);
  Fleet fleet(argv[1], argv[2], argv[3], &record);
  fleet.engine_services = "engines";
  fleet.routes = {
      {"narration", "/narrate/", "streaming", "engines"},
      {"booking", "/book/", "unsafe", "desk", 600, 100},
  };
  fleet.WriteConfig(7);
  Endpoint* desk = fleet.AddEndpoint("d-1", "desk", {"kind=plain", "work=250"});
  fleet.AddEndpoint("e-1", "engines",
                    {"kind=stream", "framing=chunks", "events=60", "gap=50",
                     "mbps=1000", "odd=" + odd});
  fleet.StartBeats();
  Instance* a = fleet.AddInstance("front-a-1", "zone-a");
  if (!fleet.WaitReady(10000)) {
    fleet.Finish(2);
  }
  KeptClients clients(a->callers, "/book/x", 8, &record);
  auto narrate = [&](const std::string& id) {
    return Call(a->callers,
                MakeRequest("POST", "/narrate/x", id, 15000,
                            "X-Model: m\r\nX-Token-Usage: 800,300\r\n"
                            "X-Prompt-Prefix: " +
                                id.substr(id.find('-') + 1) + ":800\r\n",
                            "{}"),
                20000);
  };
  // Longer than contact_ms: the machine is in touch.
  std::atomic<int> sound{0};
  std::vector<std::thread> narrations;
  for (int i = 0; i < 40; ++i) {
    narrations.emplace_back([&, i] {
      const Answer it = narrate("even-" + std::to_string(i));
      sound += it.status() == 200 && it.end == End::kComplete;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  for (std::thread& it : narrations) {
    it.join();
  }
  record.Line("40 sound narrations sent, %d answered", sound.load());
  if (sound != 40) {
    fleet.Finish(2);
  }
  record.Line("bookings: %d sent, %d answered; memory of %s: %.0f MB",
              clients.sent(), clients.answered(), a->name.c_str(),
              a->process.ResidentMb());
  std::atomic<bool> done{false};
  std::thread narration([&] {
    const std::string id = trouble ? "odd-40" : "even-40";
    record.Line("send %s%s", id.c_str(),
                trouble ? "; its endpoint will send bytes without end" : "");
    const Answer it = narrate(id);
    record.Line("%s: status %d, %s", id.c_str(), it.status(), Name(it.end));
    done = true;
  });
  double peak = 0;
  bool killed = false;
  int64_t next_line = 0;
  while (!done && !killed && !a->process.Ended()) {
    const double mb = a->process.ResidentMb();
    peak = std::max(peak, mb);
    if (trouble && NowMs() >= next_line) {
      record.Line("memory of %s: %.0f MB", a->name.c_str(), mb);
      next_line = NowMs() + 200;
    }
    if (mb > Fleet::kMemoryMb) {
      record.Line("%.0f MB: the platform kills a process over %d MB", mb,
                  Fleet::kMemoryMb);
      a->process.Signal(SIGKILL);
      killed = true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  clients.Stop();
  narration.join();
  const std::vector<std::string> lost = RanAt(desk->log, clients.lost());
  record.Line(
      "peak %.0f MB. Bookings: %d sent, %d answered; %zu were run by the sound "
      "endpoint, and their kept connection was closed without an answer (more "
      "than 3 break the rule)",
      peak, clients.sent(), clients.answered(), lost.size());
  fleet.Finish(lost.size() > 3 ? 1 : 0);
}
