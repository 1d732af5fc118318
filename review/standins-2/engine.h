#ifndef REVIEW_STANDINS_2_ENGINE_H_
#define REVIEW_STANDINS_2_ENGINE_H_

#include "record.h"
#include "store.h"

namespace review {

//! An engine as PROTOCOL.md specifies it: plain answers or streams, an entry in
//! the store, and a planned shutdown that it announces in its answers and in
//! the store.
class Engine {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 64;
    bool streams = false;
    int64_t work_ms = 15;       //!< Of a plain answer; of a stream: before it.
    int events = 0;             //!< Of a stream.
    int64_t event_gap_ms = 20;  //!< Between two events.
  };

  Engine(Store* store, Record* record, Options options)
      : store_(store), record_(record), options_(std::move(options)) {
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    server_ = std::make_unique<Server>(
        [this](Connection& connection) { Serve(connection); });
    WriteEntry();
    beats_ = std::thread([this] { Beat(); });
  }
  ~Engine() { Exit(); }

  const Options& options() const { return options_; }
  int port() const { return server_->port(); }

  //! Begins a planned shutdown: says so in the store and in all answers, and
  //! goes on serving.
  void StartLeaving() {
    leaving_ = true;
    WriteEntry();
    record_->Line("engine " + options_.id +
                  " is leaving: its entry says draining, its answers say "
                  "Server-Leaving");
  }

  //! The process ends: its connections are closed, its entry is dropped.
  void Exit() {
    if (exited_.exchange(true)) {
      return;
    }
    record_->Line("engine " + options_.id + " exits with " +
                  std::to_string(running_) + " requests at work");
    server_->Stop();
    beats_.join();
    store_->Put("keyed.servers", options_.id, "");
  }

 private:
  void WriteEntry() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++sequence_;
    store_->Put("keyed.servers", options_.id,
                "{\"service\":\"" + options_.service + "\",\"address\":\"" +
                    AddressOf(server_->port()) + "\",\"zone\":\"" +
                    options_.zone + "\",\"version\":\"v1\",\"slots\":" +
                    std::to_string(options_.slots) + ",\"state\":\"" +
                    (leaving_ ? "draining" : "ready") +
                    "\",\"cold_remaining_ms\":0,\"sequence\":" +
                    std::to_string(sequence_) +
                    ",\"born\":" + std::to_string(born_) + "}");
  }

  void Beat() {
    constexpr int64_t kBeatMs = 1200;
    int64_t next = NowMs() + kBeatMs;
    while (!exited_) {
      SleepMs(20);
      if (NowMs() >= next && !exited_) {
        WriteEntry();
        next += kBeatMs;
      }
    }
  }

  void Serve(Connection& connection) {
    Request request;
    while (connection.ReadRequest(&request)) {
      if (!Answer(connection, request)) {
        return;
      }
    }
  }

  bool Answer(Connection& connection, const Request& request) {
    const std::string id = request.fields.Get("X-Request-Id");
    const std::string expected = request.fields.Get("X-Expected-Instance");
    std::string head = "X-Request-Id: " + id + "\r\n";
    if (leaving_) {
      head += "Server-Leaving: 1\r\n";
    }
    if (!expected.empty() && expected != options_.id) {
      return connection.Write("HTTP/1.1 421 Misdirected Request\r\n" + head +
                              "X-Instance-Id: " + options_.id +
                              "\r\nContent-Length: 0\r\n\r\n");
    }
    record_->OnRun(options_.id, id);
    ++running_;
    head += "X-Server-Signature: " + options_.id + "." + id + "\r\n";
    const bool ok = options_.streams ? Stream(connection, head, id)
                                     : Plain(connection, head, id);
    --running_;
    return ok;
  }

  bool Plain(Connection& connection,
             const std::string& head,
             const std::string& id) {
    SleepMs(options_.work_ms);
    const std::string body = "answer to " + id;
    return connection.Write("HTTP/1.1 200 OK\r\n" + head + "Content-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  bool Stream(Connection& connection,
              const std::string& head,
              const std::string& id) {
    SleepMs(options_.work_ms);
    if (!connection.Write("HTTP/1.1 200 OK\r\n" + head +
                          "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (int i = 1; i <= options_.events; ++i) {
      const std::string event = "id: " + std::to_string(i) + "\ndata: piece " +
                                std::to_string(i) + " of " + id + "\n\n";
      char size[16];
      snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!connection.Write(size + event + "\r\n")) {
        return false;
      }
      SleepMs(options_.event_gap_ms);
    }
    return connection.Write("0\r\n\r\n");
  }

  Store* store_;
  Record* record_;
  Options options_;
  int64_t born_ = 0;
  std::atomic<bool> leaving_{false};
  std::atomic<bool> exited_{false};
  std::atomic<int> running_{0};
  std::mutex mutex_;
  int64_t sequence_ = 0;
  std::unique_ptr<Server> server_;
  std::thread beats_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_ENGINE_H_
