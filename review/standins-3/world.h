// What the cases share: child processes, the record, the settings and the
// configuration of a small deployment, heartbeats of engines, and a client.
#ifndef REVIEW_STANDINS_3_WORLD_H_
#define REVIEW_STANDINS_3_WORLD_H_

#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <atomic>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "store.h"

namespace review {

// --- Record ------------------------------------------------------------------

// Lines of what was sent, answered and run, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(fopen(path.c_str(), "w")), began_(NowMs()) {}

  __attribute__((format(printf, 2, 3))) void Add(const char* format, ...) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    std::lock_guard<std::mutex> lock(mutex_);
    fprintf(file_, "%8.3f %s\n", static_cast<double>(NowMs() - began_) / 1000,
            text);
    fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
  long long began_;
};

// --- Processes ---------------------------------------------------------------

class Process {
 public:
  ~Process() { Kill(); }

  void Start(const std::vector<std::string>& words, const std::string& log) {
    std::vector<char*> arguments;
    for (const std::string& it : words) {
      arguments.push_back(const_cast<char*>(it.c_str()));
    }
    arguments.push_back(nullptr);
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execv(arguments[0], arguments.data());
      _exit(127);
    }
  }

  void Signal(int signal) {
    if (running()) {
      kill(pid_, signal);
    }
  }

  void Kill() {
    if (running()) {
      kill(pid_, SIGKILL);
      kill(pid_, SIGCONT);
      waitpid(pid_, &status_, 0);
      pid_ = 0;
    }
  }

  bool running() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
      pid_ = 0;
    }
    return pid_ > 0;
  }

  // Waits for the end; false if there is none in time.
  bool Wait(long long timeout_ms) {
    const long long until = NowMs() + timeout_ms;
    while (running()) {
      if (NowMs() > until) {
        return false;
      }
      SleepMs(5);
    }
    return true;
  }

  int status() const { return status_; }
  int pid() const { return pid_; }

 private:
  int pid_ = 0;
  int status_ = 0;
};

// Returns a free port below the range from which the kernel takes the ports of
// outgoing connections, so that none of these can have it meanwhile.
inline int FreePort() {
  static std::mt19937 random(std::random_device{}());
  static std::set<int> given;
  while (true) {
    const int port = 12000 + static_cast<int>(random() % 20000);
    const int fd = Listen(port);
    if (fd < 0) {
      continue;
    }
    close(fd);
    if (given.insert(port).second) {
      return port;
    }
  }
}

// Whether something listens on the port within 3 s.
inline bool WaitListening(int port) {
  const long long until = NowMs() + 3000;
  while (NowMs() < until) {
    const int fd = Connect(port);
    if (fd >= 0) {
      close(fd);
      return true;
    }
    SleepMs(20);
  }
  return false;
}

// --- Instances ---------------------------------------------------------------

struct Front {
  std::string name;
  std::string zone;
  int callers = 0;
  int ready = 0;
  int peers = 0;
  int metrics = 0;
  std::string settings;
  std::string log;
  Process process;
};

// Settings as deploy/settings.ini.tmpl renders them for madrasa-kit.
inline void WriteSettings(const Front& front,
                          int store_port,
                          bool first_start,
                          int grace_ms = 8000) {
  std::ofstream out(front.settings);
  out << "[instance]\nname = " << front.name << "\ndata_centre = " << front.zone
      << "\nfirst_start = " << (first_start ? 1 : 0)
      << "\n\n[listen]\ncallers = " << AddressOf(front.callers)
      << "\nhealth = " << AddressOf(front.ready)
      << "\npeers = " << AddressOf(front.peers)
      << "\nmetrics = " << AddressOf(front.metrics)
      << "\n\n[store]\naddress = " << AddressOf(store_port)
      << "\nreads_per_s = 2000\nwrites_per_s = 800\n"
      << "\n[limits]\nfile_descriptors = 4100\nlink_mbps = 1000.0\n"
      << "memory_mb = 260\ngrace_ms = " << grace_ms
      << "\n\n[retries]\nratio = 0.2\nextra = 56\nwindow_s = 10\n"
      << "\n[cold_start]\noverage = 1.5\ntolerance = 5\n"
      << "\n[data_centres]\namman-a = amman\namman-b = amman\namman-c = "
         "amman\n";
}

inline void PrepareFront(Front* front,
                         const std::string& folder,
                         const std::string& name,
                         const std::string& zone) {
  front->name = name;
  front->zone = zone;
  front->callers = FreePort();
  front->ready = FreePort();
  front->peers = FreePort();
  front->metrics = FreePort();
  front->settings = folder + "/" + name + ".ini";
  front->log = folder + "/" + name + ".log";
}

inline void StartFront(Front* front, const std::string& binary) {
  front->process.Start({binary, "front", "--settings", front->settings},
                       front->log);
}

inline bool IsReady(int port) {
  const int fd = Connect(port);
  if (fd < 0) {
    return false;
  }
  SendAll(fd,
          "GET /tamaracktrail/readiness HTTP/1.1\r\nHost: ready\r\n"
          "Connection: close\r\n\r\n");
  std::string buf;
  Head head;
  bool ready = false;
  while (ReadSome(fd, &buf, 500) == ReadEnd::kData) {
    if (TakeHead(&buf, &head)) {
      ready = head.status() == 200;
      break;
    }
  }
  close(fd);
  return ready;
}

inline bool WaitReady(const Front& front, long long timeout_ms) {
  const long long until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    if (IsReady(front.ready)) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

// --- Engines -----------------------------------------------------------------

// The entry of one engine in the store, rewritten about every 1.2 s.
class Entry {
 public:
  Entry(Store* store,
        std::string id,
        std::string service,
        std::string zone,
        int port,
        int slots)
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        port_(port),
        slots_(slots),
        born_(UnixMs()) {}

  const std::string& id() const { return id_; }
  int port() const { return port_; }

  void Beat(const char* state = "ready") {
    store_->Put(
        "keyed.servers", id_,
        "{\"service\":\"" + service_ + "\",\"address\":\"" + AddressOf(port_) +
            "\",\"zone\":\"" + zone_ + "\",\"version\":\"v1\",\"slots\":" +
            std::to_string(slots_) + ",\"state\":\"" + state +
            "\",\"cold_remaining_ms\":0,\"stage\":\"combined\",\"models\":[{"
            "\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":" +
            std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_) +
            "}");
  }

  void Remove() { store_->Put("keyed.servers", id_, ""); }

  // The engine has started again under its id.
  void Reborn() {
    born_ = UnixMs();
    sequence_ = 0;
  }

 private:
  Store* store_;
  std::string id_;
  std::string service_;
  std::string zone_;
  int port_;
  int slots_;
  long long born_;
  long long sequence_ = 0;
};

// --- Configuration -----------------------------------------------------------

constexpr char kKey[] = "n2ctnfzs989anu6wsjnb";

// Routes of the services "assist" (engines) and "school" as on the sheet of
// madrasa-kit, with paths and names of the page's example.
inline std::string Config(long long version,
                          const std::string& more_routes = "",
                          long long prepaid = 50000000) {
  const std::string host = "\"host\":\"ficu95.example\",";
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":["
         "{\"name\":\"r-report\"," +
         host +
         "\"path_prefix\":\"/lohu930/\","
         "\"kind\":\"streaming\",\"timeout_ms\":15000,"
         "\"target_latency_ms\":800,\"priority\":1,\"service\":\"assist\","
         "\"max_attempts\":1,\"public\":false,\"session_affinity\":true,"
         "\"stream_resumption\":false,\"target_gap_ms\":300},"
         "{\"name\":\"r-ask\"," +
         host +
         "\"path_prefix\":\"/pufi791/\","
         "\"kind\":\"streaming\",\"timeout_ms\":12000,"
         "\"target_latency_ms\":400,\"priority\":0,\"service\":\"assist\","
         "\"max_attempts\":2,\"public\":false,\"session_affinity\":true,"
         "\"stream_resumption\":true,\"target_gap_ms\":300},"
         "{\"name\":\"r-fee\"," +
         host +
         "\"path_prefix\":\"/puxa403/\","
         "\"kind\":\"unsafe\",\"timeout_ms\":600,\"target_latency_ms\":100,"
         "\"priority\":2,\"service\":\"school\",\"max_attempts\":2,"
         "\"public\":false},"
         "{\"name\":\"r-grade\"," +
         host +
         "\"path_prefix\":\"/cufi504/\","
         "\"kind\":\"safe\",\"timeout_ms\":600,\"target_latency_ms\":100,"
         "\"priority\":2,\"service\":\"school\",\"max_attempts\":2,"
         "\"public\":false}" +
         more_routes +
         "],\"services\":["
         "{\"name\":\"assist\",\"health_check_path\":\"/health\","
         "\"connection_limit\":370,\"protocol\":\"h1\",\"tls\":false,"
         "\"engine\":{\"slots\":64,\"kv_cache_tokens\":628734,"
         "\"kv_token_bytes\":163840,\"link_mbps\":180000.0,\"moves\":true,"
         "\"backups\":true,\"stride\":5,\"most\":12,\"pin_ms\":4000.0,"
         "\"hold_ms\":2000.0,\"handle_ttl_s\":5.0,\"models\":[{\"name\":\"m\"}"
         "]}},"
         "{\"name\":\"school\",\"health_check_path\":\"/health\","
         "\"connection_limit\":110,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
         "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" +
         kKey + "\"],\"priority\":1,\"prepaid\":" + std::to_string(prepaid) +
         "}]}";
}

inline std::string StreamRequest(const std::string& path,
                                 const std::string& id,
                                 int deadline_ms,
                                 int output_tokens) {
  const std::string body = "{\"prompt\":\"" + id + "\"}";
  return "POST " + path +
         " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id +
         "\r\nX-Model: m\r\nX-Token-Usage: 1460," +
         std::to_string(output_tokens) + "\r\nX-Prompt-Prefix: 5c1e07a2:800,a" +
         id.substr(0, 7) + ":410,e" + id.substr(0, 7) +
         ":250\r\nX-Request-Deadline: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer " + kKey +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// --- Client ------------------------------------------------------------------

// How the answer ended, as a client sees it on its socket.
struct Answer {
  int status = 0;       // 0: no head.
  std::string framing;  // "length", "chunks" or "connection".
  std::string body;     // Without the framing.
  std::string end;      // "complete", "cut", "reset" or "timeout".
};

// Sends one request on a connection of its own and reads the answer to its end.
inline Answer Fetch(int port,
                    const std::string& request,
                    long long timeout_ms) {
  Answer answer;
  answer.end = "reset";
  const int fd = Connect(port);
  if (fd < 0) {
    return answer;
  }
  const long long until = NowMs() + timeout_ms;
  std::string buf;
  Head head;
  bool head_done = false;
  size_t length = 0;
  SendAll(fd, request);
  while (true) {
    if (!head_done && TakeHead(&buf, &head)) {
      head_done = true;
      answer.status = head.status();
      const std::string text = head.Find("Content-Length");
      answer.framing = !text.empty() ? "length"
                       : head.Find("Transfer-Encoding") == "chunked"
                           ? "chunks"
                           : "connection";
      length = static_cast<size_t>(atoll(text.c_str()));
    }
    if (head_done && answer.framing == "chunks") {
      bool last = false;
      while (true) {
        const size_t eol = buf.find("\r\n");
        if (eol == std::string::npos) {
          break;
        }
        const size_t n = strtoul(buf.c_str(), nullptr, 16);
        if (buf.size() < eol + 2 + n + 2) {
          break;
        }
        answer.body += buf.substr(eol + 2, n);
        buf.erase(0, eol + 2 + n + 2);
        if (n == 0) {
          last = true;
          break;
        }
      }
      if (last) {
        answer.end = "complete";
        break;
      }
    } else if (head_done) {
      answer.body += buf;
      buf.clear();
      if (answer.framing == "length" && answer.body.size() >= length) {
        answer.end = "complete";
        break;
      }
    }
    const ReadEnd got = ReadSome(fd, &buf, until - NowMs());
    if (got == ReadEnd::kData) {
      continue;
    }
    answer.end = got == ReadEnd::kTimeout                      ? "timeout"
                 : got == ReadEnd::kReset                      ? "reset"
                 : head_done && answer.framing == "connection" ? "complete"
                                                               : "cut";
    break;
  }
  close(fd);
  return answer;
}

// Returns the ids of the events of a stream, in the order of their arrival.
inline std::vector<int> EventIds(const std::string& body) {
  std::vector<int> ids;
  size_t at = 0;
  while ((at = body.find("id: ", at)) != std::string::npos) {
    ids.push_back(atoi(body.c_str() + at + 4));
    at += 4;
  }
  return ids;
}

inline bool TroubleOn() {
  const char* text = getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}  // namespace review

#endif  // REVIEW_STANDINS_3_WORLD_H_
