// Streams whose answers have neither a length nor chunks, while an instance is
// stopped with SIGTERM (planned work).
#include "fleet.h"

using namespace standin;

int main(int argc, char** argv) {
  // case PROGRAM ENDPOINT FOLDER RECORD TROUBLE SIGNAL
  if (argc < 7) {
    return 2;
  }
  const bool trouble = std::string(argv[5]) != "0";
  const bool kill_at_once = std::string(argv[6]) == "KILL";
  RecordFile record(argv[4]);
  Fleet fleet(argv[1], argv[2], argv[3], &record);
  constexpr int kEvents = 200;
  constexpr int kGapMs = 50;
  constexpr int kStreams = 8;
  fleet.engine_services = "engines";
  fleet.routes = {{"narration", "/narrate/", "streaming", "engines"}};
  fleet.WriteConfig(7);
  for (const char* id : {"e-1", "e-2"}) {
    fleet.AddEndpoint(
        id, "engines",
        {"kind=stream", "framing=close", "events=" + std::to_string(kEvents),
         "gap=" + std::to_string(kGapMs)});
  }
  fleet.StartBeats();
  Instance* a = fleet.AddInstance("front-a-1", "zone-a");
  if (!fleet.WaitReady(10000)) {
    fleet.Finish(2);
  }
  std::vector<Answer> answers(kStreams);
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "stream-" + std::to_string(i);
      record.Line("send %s", id.c_str());
      answers[static_cast<size_t>(i)] =
          Call(a->callers,
               MakeRequest("POST", "/narrate/x", id, 15000,
                           "X-Model: m\r\nX-Token-Usage: 800,1000\r\n"
                           "X-Prompt-Prefix: aa" +
                               std::to_string(i) + ":800\r\n",
                           "{}"),
               20000);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  if (trouble) {
    record.Line("%s to %s", kill_at_once ? "SIGKILL" : "SIGTERM",
                a->name.c_str());
    a->process.Signal(kill_at_once ? SIGKILL : SIGTERM);
    const int64_t since = NowMs();
    // The platform kills what still runs at the end of the grace period.
    if (!a->process.WaitEnd(Fleet::kGraceMs)) {
      a->process.Signal(SIGKILL);
      record.Line("SIGKILL at the end of the grace period");
    }
    record.Line("the process has ended %lld ms after the signal",
                static_cast<long long>(NowMs() - since));
  }
  for (std::thread& it : clients) {
    it.join();
  }
  int broken = 0;
  int whole = 0;
  for (int i = 0; i < kStreams; ++i) {
    const Answer& it = answers[static_cast<size_t>(i)];
    bool at_boundary = false;
    const int n = CountEvents(it.message.body, &at_boundary);
    const bool looks_complete =
        it.status() == 200 && at_boundary &&
        (it.end == End::kClosed || it.end == End::kComplete);
    record.Line(
        "stream-%d: status %d, %d of %d events, %s, %s%s", i, it.status(), n,
        kEvents, at_boundary ? "ends after an event" : "ends inside an event",
        Name(it.end),
        looks_complete && n < kEvents ? ": LOOKS COMPLETE, BUT IS NOT" : "");
    broken += looks_complete && n < kEvents;
    whole += looks_complete && n == kEvents;
  }
  record.Line("%d of %d streams are whole; %d ended early and look complete",
              whole, kStreams, broken);
  if (!trouble && whole != kStreams) {
    fleet.Finish(broken > 0 ? 1 : 2);
  }
  fleet.Finish(broken > 0 ? 1 : 0);
}
