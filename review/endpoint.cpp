// An endpoint as PROTOCOL.md tells it: endpoint PORT ID [KEY=VALUE...]
//   kind=stream|plain|empty   what it answers
//   events=N gap=MS     of a stream: events, and the time between two
//   work=MS size=BYTES  of a plain answer
//   framing=chunks|close|length   how its answers end
//   odd=NAME            spoils the answers to requests whose id begins with
//                       "odd": truncated, or the names in Odd()
// Prints a line for each request that it gets, runs and ends.
#include <mutex>
#include <thread>

#include "net.h"

using namespace standin;

namespace {

std::string id;
std::map<std::string, std::string> options;
std::mutex out_mutex;

int Number(const std::string& key, int fallback) {
  const auto it = options.find(key);
  return it == options.end() ? fallback : atoi(it->second.c_str());
}

void Print(const std::string& what, const Message& m, const std::string& more) {
  const std::lock_guard lock(out_mutex);
  printf("%s %lld %s tenant=%s %s\n", what.c_str(),
         static_cast<long long>(UnixMs()), m.Field("X-Request-Id").c_str(),
         m.Field("X-Tenant").c_str(), more.c_str());
  fflush(stdout);
}

// Sleeps; returns false as soon as the caller has closed.
bool WorkFor(int fd, int ms) {
  const int64_t until = NowMs() + ms;
  while (true) {
    const int64_t left = until - NowMs();
    if (left <= 0) {
      return true;
    }
    pollfd p{fd, POLLIN, 0};
    if (poll(&p, 1, static_cast<int>(left)) > 0) {
      char c;
      if (recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) <= 0) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(left));
    }
  }
}

std::string Head(const Message& m, int status, const std::string& more) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Answer\r\nX-Request-Id: " + m.Field("X-Request-Id") +
         "\r\nX-Server-Signature: " + id + ".600.0\r\n" + more + "\r\n";
}

std::string Chunk(const std::string& bytes) {
  char size[32];
  snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// Bytes that are no answer, without end, until the caller closes.
void Odd(int fd, const Message& m, const std::string& odd) {
  std::string head = Head(m, 200, "Transfer-Encoding: chunked\r\n");
  std::string filler(64 * 1024, 'x');
  if (odd == "chunk-extension") {
    head += "10;";
  } else if (odd == "trailer") {
    head += Chunk("some bytes") + "0\r\nX-Trailer: ";
  } else if (odd == "trailers") {
    head += Chunk("some bytes") + "0\r\n";
    filler.clear();
    while (filler.size() < 64 * 1024) {
      filler += "X-T: 1\r\n";
    }
  } else if (odd == "chunk-size") {
    filler.assign(64 * 1024, '0');
  } else if (odd == "head") {
    head = "HTTP/1.1 200 OK\r\nX-Odd: ";
  } else if (odd == "body") {
    head = Head(m, 200, "Connection: close\r\n");
  }
  bool open = SendAll(fd, head);
  uint64_t sent = 0;
  const int64_t began = NowMs();
  while (open) {
    open = SendAll(fd, filler);
    sent += filler.size();
    // A link of a small machine: 200 Mbit/s.
    const int64_t due =
        began +
        static_cast<int64_t>(
            sent * 8 / (1000 * static_cast<uint64_t>(Number("mbps", 200))));
    if (due > NowMs()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(due - NowMs()));
    }
  }
  Print("odd-closed", m, "bytes=" + std::to_string(sent));
}

// Answers with an empty body in chunks. A truncated one lacks its last two
// bytes.
void Empty(int fd, const Message& m, bool truncated) {
  SendAll(fd, Head(m, 200, "Transfer-Encoding: chunked\r\n") + "0\r\n" +
                  (truncated ? "" : "\r\n"));
  Print(truncated ? "truncated" : "end", m, "");
}

void Stream(int fd, const Message& m) {
  const bool chunks = options["framing"] != "close";
  const int events = Number("events", 50);
  const int first = atoi(m.Field("Last-Event-Id").c_str()) + 1;
  if (!SendAll(fd, Head(m, 200,
                        std::string("Content-Type: text/event-stream\r\n") +
                            (chunks ? "Transfer-Encoding: chunked\r\n"
                                    : "Connection: close\r\n")))) {
    return;
  }
  for (int i = first; i <= events; ++i) {
    if (!WorkFor(fd, Number("gap", 50))) {
      Print("closed-by-caller", m, "events=" + std::to_string(i - 1));
      return;
    }
    const std::string event = "id: " + std::to_string(i) + "\ndata: piece " +
                              std::to_string(i) + " of " +
                              m.Field("X-Request-Id") + "\n\n";
    if (!SendAll(fd, chunks ? Chunk(event) : event)) {
      Print("closed-by-caller", m, "events=" + std::to_string(i - 1));
      return;
    }
  }
  if (chunks) {
    SendAll(fd, "0\r\n\r\n");
  }
  Print("end", m, "events=" + std::to_string(events));
}

void Plain(int fd, const Message& m) {
  if (!WorkFor(fd, Number("work", 15))) {
    Print("closed-by-caller", m, "");
    return;
  }
  const std::string body(static_cast<size_t>(Number("size", 800)), 'b');
  const bool close = options["framing"] == "close";
  const bool ok = SendAll(
      fd,
      Head(m, 200,
           close ? "Connection: close\r\n"
                 : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
          body);
  Print(ok ? "end" : "closed-by-caller", m, "");
}

void Serve(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string buf;
  Message m;
  while (ReadRequest(fd, &buf, NowMs() + 20000, &m)) {
    const std::string expected = m.Field("X-Expected-Instance");
    if (m.Word(1) == "/health") {
      if (!SendAll(fd, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id +
                           "\r\nContent-Length: 0\r\n\r\n")) {
        break;
      }
    } else if (!expected.empty() && expected != id) {
      SendAll(fd, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " +
                      m.Field("X-Request-Id") + "\r\nX-Instance-Id: " + id +
                      "\r\nContent-Length: 0\r\n\r\n");
    } else {
      Print("run", m, "usage=" + m.Field("X-Token-Usage"));
      const std::string odd = options["odd"];
      // A faulty endpoint spoils some of its answers only.
      const bool spoil =
          !odd.empty() && m.Field("X-Request-Id").find("odd") == 0;
      if (options["kind"] == "empty") {
        Empty(fd, m, spoil);
        if (spoil) {
          break;
        }
        m = {};
        continue;
      }
      if (spoil) {
        Odd(fd, m, odd);
        break;
      }
      if (options["kind"] == "stream") {
        Stream(fd, m);
      } else {
        Plain(fd, m);
      }
      if (options["framing"] == "close") {
        break;
      }
    }
    m = {};
  }
  close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  // "endpoint PORT ID [KEY=VALUE...]"
  if (argc < 4) {
    return 2;
  }
  id = argv[3];
  for (int i = 4; i < argc; ++i) {
    const std::string it = argv[i];
    const size_t eq = it.find('=');
    options[it.substr(0, eq)] = it.substr(eq + 1);
  }
  const int fd = Listen(atoi(argv[2]));
  if (fd < 0) {
    return 2;
  }
  while (true) {
    const int from = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (from >= 0) {
      std::thread(Serve, from).detach();
    }
  }
}
