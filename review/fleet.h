// A small deployment on loopback: the store, endpoints as processes, instances
// of the product as processes, and clients.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdarg>
#include <fstream>
#include <functional>
#include <sstream>

#include "store.h"

namespace standin {

// Lines of record.txt, with the milliseconds since the start.
class RecordFile {
 public:
  explicit RecordFile(const std::string& path)
      : file_(fopen(path.c_str(), "w")), start_(NowMs()) {}

  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    fprintf(file_, "%7lld ms  ", static_cast<long long>(NowMs() - start_));
    va_list arguments;
    va_start(arguments, format);
    vfprintf(file_, format, arguments);
    va_end(arguments);
    fputc('\n', file_);
    fflush(file_);
  }

 private:
  FILE* file_;
  int64_t start_;
  std::mutex mutex_;
};

class Process {
 public:
  Process() = default;
  Process(const std::vector<std::string>& words,
          const std::string& log,
          const std::map<std::string, std::string>& variables = {}) {
    pid_ = fork();
    if (pid_ == 0) {
      // Ends with the case, also if that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      dup2(out, 1);
      dup2(out, 2);
      for (const auto& [key, value] : variables) {
        setenv(key.c_str(), value.c_str(), 1);
      }
      std::vector<char*> argv;
      for (const std::string& it : words) {
        argv.push_back(const_cast<char*>(it.c_str()));
      }
      argv.push_back(nullptr);
      execv(argv[0], argv.data());
      _exit(127);
    }
  }

  pid_t pid() const { return pid_; }
  void Signal(int signal) const {
    if (pid_ > 0 && !ended_) {
      kill(pid_, signal);
    }
  }
  // Whether the process has ended; reaps it.
  bool Ended(int* status = nullptr) {
    if (!ended_ && pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
      ended_ = true;
    }
    if (status != nullptr) {
      *status = status_;
    }
    return ended_;
  }
  bool WaitEnd(int ms, int* status = nullptr) {
    const int64_t until = NowMs() + ms;
    while (!Ended(status) && NowMs() < until) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return ended_;
  }
  void End() {
    if (pid_ > 0 && !ended_) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, &status_, 0);
      ended_ = true;
    }
  }
  // Resident memory in MB; 0 once it has ended.
  double ResidentMb() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
    long pages = 0;
    long resident = 0;
    in >> pages >> resident;
    return static_cast<double>(resident) *
           static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  }

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  int status_ = 0;
};

struct Endpoint {
  std::string id;
  std::string service;
  std::string zone;
  int slots = 64;
  int port = 0;
  std::vector<std::string> options;  // Of the process; see endpoint.cpp.
  Process process;
  int64_t born = 0;
  int64_t sequence = 0;
  bool beats = false;
  int64_t silent_since = 0;  // 0 while it beats, -1 once its entry is removed.
  std::string log;
};

struct Instance {
  std::string name;
  std::string zone;
  int callers = 0;
  int health = 0;
  std::string settings;
  std::string log;
  std::unique_ptr<Link> store_link;
  Process process;
};

struct RouteSpec {
  std::string name, prefix, kind, service;
  int timeout_ms = 15000;
  int target_ms = 800;
  int attempts = 1;
  bool resumption = false;
};

// What a day's site gives; the values are those of madrasa-kit.toml.
class Fleet {
 public:
  static constexpr int kHeartbeatMs = 1200;
  static constexpr int kGraceMs = 8000;
  static constexpr int kMemoryMb = 260;

  // `tool`: the program of the stand-ins; `program`: the product's.
  Fleet(std::string program,
        std::string tool,
        std::string folder,
        RecordFile* record)
      : program_(std::move(program)),
        tool_(std::move(tool)),
        folder_(std::move(folder)),
        record_(record) {
    signal(SIGPIPE, SIG_IGN);
  }

  // Ends all processes and this one. The threads of the stand-ins still run, so
  // nothing is destroyed.
  [[noreturn]] void Finish(int code) {
    stopping_ = true;
    if (beat_.joinable()) {
      beat_.join();
    }
    for (auto& it : instances) {
      it->process.End();
    }
    for (auto& it : endpoints) {
      it->process.End();
    }
    _exit(code);
  }

  Store store;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<RouteSpec> routes;
  std::string tenants = "[{\"name\":\"tenant-a\",\"api_keys\":[\"key-a\"]}]";
  std::string engine_services;  // Names of services that are engines.

  Endpoint* AddEndpoint(const std::string& id,
                        const std::string& service,
                        std::vector<std::string> options) {
    auto e = std::make_unique<Endpoint>();
    e->id = id;
    e->service = service;
    e->zone = "zone-a";
    e->options = std::move(options);
    e->log = folder_ + "/" + id + ".log";
    StartEndpoint(e.get());
    const std::lock_guard lock(mutex_);
    endpoints.push_back(std::move(e));
    return endpoints.back().get();
  }

  // (Re)starts the process at its address, as a new incarnation of its id.
  void StartEndpoint(Endpoint* e) {
    if (e->port == 0) {
      e->port = FreePort();
    }
    std::vector<std::string> words = {tool_, "endpoint",
                                      std::to_string(e->port), e->id};
    words.insert(words.end(), e->options.begin(), e->options.end());
    e->process = Process(words, e->log);
    for (int i = 0; i < 500; ++i) {
      const int fd = Connect(e->port);
      if (fd >= 0) {
        close(fd);
        break;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    const std::lock_guard lock(mutex_);
    e->born = UnixMs();
    e->sequence = 0;
    e->silent_since = 0;
    e->beats = true;
    Beat(e);
  }

  // SIGKILL. Its entry lapses after three heartbeat intervals of silence.
  void KillEndpoint(Endpoint* e) {
    {
      const std::lock_guard lock(mutex_);
      e->beats = false;
      e->silent_since = NowMs();
    }
    e->process.End();
  }

  void WriteConfig(int64_t version) {
    std::ostringstream o;
    o << "{\"version\":" << version << ",\"routes\":[";
    std::set<std::string> services;
    for (size_t i = 0; i < routes.size(); ++i) {
      const RouteSpec& r = routes[i];
      services.insert(r.service);
      o << (i ? "," : "") << "{\"name\":\"" << r.name
        << "\",\"host\":\"review.example\",\"path_prefix\":\"" << r.prefix
        << "\",\"kind\":\"" << r.kind << "\",\"timeout_ms\":" << r.timeout_ms
        << ",\"target_latency_ms\":" << r.target_ms
        << ",\"priority\":1,\"service\":\"" << r.service
        << "\",\"max_attempts\":" << r.attempts << ",\"public\":false"
        << ",\"session_affinity\":"
        << (r.kind == "streaming" ? "true" : "false")
        << ",\"stream_resumption\":" << (r.resumption ? "true" : "false")
        << ",\"target_gap_ms\":300}";
    }
    o << "],\"services\":[";
    bool first = true;
    for (const std::string& it : services) {
      o << (first ? "" : ",") << "{\"name\":\"" << it
        << "\",\"connection_limit\":370,\"health_check_path\":\"/health\"";
      if (engine_services.find(it) != std::string::npos) {
        o << ",\"engine\":{\"slots\":64,\"kv_cache_tokens\":628734,"
             "\"kv_token_bytes\":163840,\"link_mbps\":180000,\"stride\":5}";
      }
      o << "}";
      first = false;
    }
    o << "],\"tenants\":" << tenants
      << ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    store.Put("keyed.op", "config", o.str());
  }

  Instance* AddInstance(const std::string& name, const std::string& zone) {
    auto i = std::make_unique<Instance>();
    i->name = name;
    i->zone = zone;
    i->callers = FreePort();
    i->health = FreePort();
    i->store_link = std::make_unique<Link>(store.port());
    i->settings = folder_ + "/" + name + ".ini";
    i->log = folder_ + "/" + name + ".log";
    // The fields of deploy/settings.ini.tmpl.
    std::ofstream(i->settings)
        << "[instance]\nname = " << name << "\ndata_centre = " << zone
        << "\n\n[listen]\ncallers = 127.0.0.1:" << i->callers
        << "\nhealth = 127.0.0.1:" << i->health
        << "\npeers = 127.0.0.1:" << FreePort()
        << "\nmetrics = 127.0.0.1:" << FreePort()
        << "\n\n[store]\naddress = 127.0.0.1:" << i->store_link->port()
        << "\nreads_per_s = 2000\nwrites_per_s = 800\n\n[limits]\n"
        << "file_descriptors = 4100\ngrace_ms = " << kGraceMs
        << "\n\n[retries]\nratio = 0.2\nextra = 56\n";
    StartInstance(i.get());
    instances.push_back(std::move(i));
    return instances.back().get();
  }

  void StartInstance(Instance* i) {
    i->process = Process({program_, "front"}, i->log,
                         {{"TAMARACKTRAIL_SETTINGS", i->settings}});
    record_->Line("start instance %s, pid %d", i->name.c_str(),
                  static_cast<int>(i->process.pid()));
  }

  void StartBeats() {
    beat_ = std::thread([this] {
      while (!stopping_) {
        {
          const std::lock_guard lock(mutex_);
          for (auto& e : endpoints) {
            if (e->beats && !e->process.Ended()) {
              Beat(e.get());
            } else if (e->silent_since > 0 &&
                       NowMs() - e->silent_since > 3 * kHeartbeatMs) {
              e->silent_since = -1;
              store.Put("keyed.servers", e->id, "");
            }
          }
        }
        for (int n = 0; n < kHeartbeatMs / 50 && !stopping_; ++n) {
          std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
      }
    });
  }

  static bool IsReady(const Instance& i) {
    const int fd = Connect(i.health);
    if (fd < 0) {
      return false;
    }
    std::string buf;
    SendAll(fd,
            "GET /tamaracktrail/readiness HTTP/1.1\r\nHost: balancer\r\n\r\n");
    const Answer a = ReadAnswer(fd, &buf, NowMs() + 1000);
    close(fd);
    return a.status() == 200;
  }

  bool WaitReady(int ms) {
    const int64_t until = NowMs() + ms;
    for (auto& i : instances) {
      while (!IsReady(*i)) {
        if (NowMs() > until || i->process.Ended()) {
          record_->Line("%s is not ready", i->name.c_str());
          return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    }
    // Endpoint entries and shares are read within half a second.
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    record_->Line("all instances are ready");
    return true;
  }

 private:
  void Beat(Endpoint* e) {
    std::ostringstream o;
    o << "{\"service\":\"" << e->service
      << "\",\"address\":\"127.0.0.1:" << e->port << "\",\"zone\":\"" << e->zone
      << "\",\"version\":\"v1\",\"slots\":" << e->slots
      << ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":"
      << ++e->sequence << ",\"born\":" << e->born << "}";
    store.Put("keyed.servers", e->id, o.str());
  }

  std::string program_;
  std::string tool_;
  std::string folder_;
  RecordFile* record_;
  std::mutex mutex_;
  std::atomic<bool> stopping_{false};
  std::thread beat_;
};

// A client's request; `extra` holds further header lines.
inline std::string MakeRequest(const std::string& method,
                               const std::string& path,
                               const std::string& id,
                               int deadline_ms,
                               const std::string& extra = "",
                               const std::string& body = "") {
  return method + " " + path +
         " HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: " + id +
         "\r\nX-Request-Deadline: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer key-a\r\n" + extra +
         (body.empty()
              ? ""
              : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

// One request on a connection of its own.
inline Answer Call(int port, const std::string& request, int deadline_ms) {
  const int fd = Connect(port);
  Answer a;
  if (fd < 0) {
    return a;
  }
  std::string buf;
  if (SendAll(fd, request)) {
    a = ReadAnswer(fd, &buf, NowMs() + deadline_ms);
  }
  close(fd);
  return a;
}

// Number of whole events in a body, and whether it ends after one.
inline int CountEvents(const std::string& body, bool* whole) {
  int n = 0;
  size_t at = 0;
  while (true) {
    const size_t end = body.find("\n\n", at);
    if (end == std::string::npos) {
      break;
    }
    ++n;
    at = end + 2;
  }
  *whole = at == body.size();
  return n;
}

// Clients that send unsafe requests over and over, each on a connection that
// it keeps, as the rule LOST asks for.
class KeptClients {
 public:
  KeptClients(int port, std::string path, int n, RecordFile* record)
      : port_(port), path_(std::move(path)), record_(record) {
    for (int i = 0; i < n; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }
  ~KeptClients() { Stop(); }

  void Stop() {
    stop_ = true;
    for (std::thread& it : threads_) {
      it.join();
    }
    threads_.clear();
  }

  int sent() const { return sent_; }
  int answered() const { return answered_; }
  // Ids of requests on a kept connection that was closed without an answer.
  std::vector<std::string> lost() {
    const std::lock_guard lock(mutex_);
    return lost_;
  }

 private:
  void Run(int client) {
    int fd = -1;
    int on_connection = 0;
    std::string buf;
    for (int i = 0; !stop_; ++i) {
      if (fd < 0) {
        fd = Connect(port_);
        on_connection = 0;
        buf.clear();
        if (fd < 0) {
          std::this_thread::sleep_for(std::chrono::milliseconds(50));
          continue;
        }
      }
      const std::string id =
          "book-" + std::to_string(client) + "-" + std::to_string(i);
      Answer it;
      ++sent_;
      if (SendAll(fd, MakeRequest("POST", path_, id, 600, "", "{}"))) {
        it = ReadAnswer(fd, &buf, NowMs() + 1000);
      }
      answered_ += it.end == End::kComplete;
      if (it.end != End::kComplete) {
        record_->Line("%s: %s, %s connection", id.c_str(), Name(it.end),
                      on_connection > 0 ? "kept" : "new");
        if (on_connection > 0 && it.end == End::kNone) {
          const std::lock_guard lock(mutex_);
          lost_.push_back(id);
        }
      }
      ++on_connection;
      if (it.end != End::kComplete || it.close) {
        close(fd);
        fd = -1;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    if (fd >= 0) {
      close(fd);
    }
  }

  int port_;
  std::string path_;
  RecordFile* record_;
  std::atomic<bool> stop_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> answered_{0};
  std::mutex mutex_;
  std::vector<std::string> lost_;
  std::vector<std::thread> threads_;
};

// Which of the requests an endpoint has run, by its log.
inline std::vector<std::string> RanAt(const std::string& log,
                                      const std::vector<std::string>& ids) {
  std::set<std::string> ran;
  std::ifstream in(log);
  std::string what, at, id, rest;
  while (in >> what >> at >> id && std::getline(in, rest)) {
    if (what == "run") {
      ran.insert(id);
    }
  }
  std::vector<std::string> out;
  for (const std::string& it : ids) {
    if (ran.count(it) > 0) {
      out.push_back(it);
    }
  }
  return out;
}

}  // namespace standin
