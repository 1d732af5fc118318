// An endpoint truncates one answer: the head, the last chunk of an empty body,
// and then the end of the connection. Or, as another way to the same end, a
// request with an empty body in chunks arrives in four segments.
#include "fleet.h"

using namespace standin;

namespace {

// A request whose body is empty and in chunks, written in one piece or in four.
Answer CallInChunks(int port, const std::string& id, bool in_pieces) {
  const std::string head =
      MakeRequest("POST", "/book/x", id, 600, "Transfer-Encoding: chunked\r\n");
  Answer a;
  const int fd = Connect(port);
  if (!in_pieces) {
    SendAll(fd, head + "0\r\n\r\n");
  } else {
    for (const std::string& it :
         {head, std::string("0\r\n"), std::string("\r"), std::string("\n")}) {
      SendAll(fd, it);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
  std::string buf;
  a = ReadAnswer(fd, &buf, NowMs() + 1000);
  close(fd);
  return a;
}

}  // namespace

int main(int argc, char** argv) {
  // case PROGRAM ENDPOINT FOLDER RECORD TROUBLE WHO
  if (argc < 7) {
    return 2;
  }
  const bool trouble = std::string(argv[5]) != "0";
  const bool by_client = std::string(argv[6]) == "client";
  RecordFile record(argv[4]);
  Fleet fleet(argv[1], argv[2], argv[3], &record);
  fleet.routes = {
      {"booking", "/book/", "unsafe", "desk", 600, 100},
      {"cancel", "/cancel/", "safe", "notes", 600, 100},
  };
  fleet.WriteConfig(7);
  // `desk` is sound. `notes` answers with empty bodies in chunks.
  Endpoint* desk = fleet.AddEndpoint("d-1", "desk", {"kind=plain", "work=250"});
  fleet.AddEndpoint("n-1", "notes", {"kind=empty", "odd=truncated"});
  fleet.StartBeats();
  Instance* a = fleet.AddInstance("front-a-1", "zone-a");
  if (!fleet.WaitReady(10000)) {
    fleet.Finish(2);
  }
  KeptClients clients(a->callers, "/book/x", 8, &record);
  // Longer than contact_ms: the machine is in touch.
  int sound = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "even-" + std::to_string(i);
    const Answer it =
        Call(a->callers, MakeRequest("GET", "/cancel/x", id, 600), 1000);
    sound += it.status() == 200 && it.end == End::kComplete;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  record.Line(
      "bookings: %d sent, %d answered; 40 requests with empty answers "
      "sent, %d answered",
      clients.sent(), clients.answered(), sound);
  if (sound != 40) {
    fleet.Finish(2);
  }
  const std::string id = trouble && !by_client ? "odd-1" : "even-40";
  Answer last;
  if (by_client) {
    record.Line("send %s, a body in chunks, in %s", id.c_str(),
                trouble ? "four segments" : "one segment");
    last = CallInChunks(a->callers, id, trouble);
  } else {
    record.Line("send %s%s", id.c_str(),
                trouble ? "; its endpoint will truncate the answer" : "");
    last = Call(a->callers, MakeRequest("GET", "/cancel/x", id, 600), 1000);
  }
  record.Line("%s: status %d, %s", id.c_str(), last.status(), Name(last.end));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  int status = 0;
  const bool ended = a->process.Ended(&status);
  clients.Stop();
  if (ended) {
    record.Line("the process has ended by itself: %s %d",
                WIFSIGNALED(status) ? "signal" : "exit code",
                WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    std::ifstream in(a->log);
    for (std::string line; std::getline(in, line);) {
      if (line.find("Assertion") != std::string::npos ||
          line.find("Check failed") != std::string::npos) {
        record.Line("its log: ...%s",
                    line.substr(line.size() - std::min<size_t>(line.size(), 80))
                        .c_str());
      }
    }
  }
  const std::vector<std::string> lost = RanAt(desk->log, clients.lost());
  record.Line(
      "bookings: %d sent, %d answered; %zu were run by the sound endpoint, and "
      "their kept connection was closed without an answer (more than 3 break "
      "the rule)",
      clients.sent(), clients.answered(), lost.size());
  fleet.Finish(lost.size() > 3 ? 1 : 0);
}
