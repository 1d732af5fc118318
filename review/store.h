// The platform's metadata store, as PROTOCOL.md tells it, for keyed topics with
// one partition; and a link to it that can be cut.
#pragma once

#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "net.h"

namespace standin {

struct Record {
  std::string key;
  std::string value;
};

class Store {
 public:
  static constexpr int kAnswerMs = 4;

  Store() : fd_(Listen(0)), port_(PortOf(fd_)) {
    std::thread([this] { Accept(); }).detach();
  }

  int port() const { return port_; }

  // Writes a record, as the operator or an endpoint does.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    Apply(&topics_[topic], {key, value});
  }

  // Calls get 503 and nothing is done while the store is away.
  void SetAway(bool away) { away_ = away; }

  // Keeps a copy of all that the store holds now.
  void MakeCopy() {
    const std::lock_guard lock(mutex_);
    copy_ = topics_;
  }

  // Comes back from the copy: offsets and producers go back with it. What the
  // operator and the endpoints wrote since is written again.
  void Restore() {
    const std::lock_guard lock(mutex_);
    std::map<std::string, Topic> lost = std::move(topics_);
    topics_ = copy_;
    ++era_;
    for (const char* name : {"keyed.op", "keyed.servers"}) {
      for (const auto& [key, entry] : lost[name].newest) {
        Topic& topic = topics_[name];
        const auto it = topic.newest.find(key);
        if (it == topic.newest.end() || it->second.first != entry.first) {
          Apply(&topic, {key, entry.first});
        }
      }
      std::vector<std::string> gone;
      for (const auto& [key, entry] : topics_[name].newest) {
        if (lost[name].newest.count(key) == 0) {
          gone.push_back(key);
        }
      }
      for (const std::string& it : gone) {
        Apply(&topics_[name], {it, ""});
      }
    }
  }

 private:
  struct Producer {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    bool has_sequence = false;
    std::map<uint64_t, std::string> answers;  // Of the last five appends.
  };
  struct Topic {
    std::vector<Record> records;
    std::map<std::string, std::pair<std::string, int64_t>> newest;
    std::map<std::string, Producer> producers;
  };
  struct Reply {
    int status = 200;
    std::string body;
  };

  static void Apply(Topic* topic, const Record& record) {
    const auto offset = static_cast<int64_t>(topic->records.size());
    topic->records.push_back(record);
    if (record.value.empty()) {
      topic->newest.erase(record.key);
    } else {
      topic->newest[record.key] = {record.value, offset};
    }
  }

  void Accept() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }

  void Serve(int fd) {
    std::string buf;
    Message m;
    while (ReadRequest(fd, &buf, NowMs() + 3600000, &m)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kAnswerMs));
      int64_t era = 0;
      const Reply reply = Handle(m, &era);
      const std::string head =
          "HTTP/1.1 " + std::to_string(reply.status) +
          " Answer\r\nStore-Era: " + std::to_string(era) +
          "\r\nContent-Length: " + std::to_string(reply.body.size()) +
          "\r\n\r\n";
      if (!SendAll(fd, head + reply.body)) {
        break;
      }
      m = {};
    }
    close(fd);
  }

  static std::string Decode(const std::string& text) {
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out.push_back(static_cast<char>(
            strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16)));
        i += 2;
      } else {
        out.push_back(text[i]);
      }
    }
    return out;
  }

  Reply Handle(const Message& m, int64_t* era) {
    const std::string target = m.Word(1);
    const size_t mark = target.find('?');
    const std::string path = target.substr(0, mark);
    std::map<std::string, std::string> query;
    for (size_t at = mark; at != std::string::npos && at < target.size();) {
      const size_t next = target.find('&', at + 1);
      const std::string pair = target.substr(at + 1, next - at - 1);
      const size_t eq = pair.find('=');
      query[pair.substr(0, eq)] =
          eq == std::string::npos ? "" : Decode(pair.substr(eq + 1));
      at = next;
    }
    const int64_t until = NowMs() + (path == "/tamaracktrail/log-read"
                                         ? atoll(query["wait_ms"].c_str())
                                         : 0);
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        *era = era_;
        if (away_) {
          return {503, ""};
        }
        if (path == "/tamaracktrail/log-append") {
          return Append(query, m.body);
        }
        if (path == "/tamaracktrail/log-newest") {
          return Newest(query);
        }
        if (path != "/tamaracktrail/log-read") {
          return {404, ""};
        }
        const Topic& topic = topics_[query["topic"]];
        const int64_t from = atoll(query["from"].c_str());
        if (static_cast<int64_t>(topic.records.size()) != from ||
            NowMs() >= until) {
          return Read(topic, from, query);
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(3));
    }
  }

  static std::string Big(uint64_t n, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) {
      out.push_back(static_cast<char>(n >> (8 * i)));
    }
    return out;
  }

  Reply Append(std::map<std::string, std::string>& query,
               const std::string& body) {
    Topic& topic = topics_[query["topic"]];
    Producer* producer =
        query.count("producer") ? &topic.producers[query["producer"]] : nullptr;
    const uint64_t sequence = strtoull(query["sequence"].c_str(), nullptr, 10);
    if (producer != nullptr) {
      const uint64_t epoch = strtoull(query["epoch"].c_str(), nullptr, 10);
      if (epoch < producer->epoch) {
        return {409, "{\"reason\":\"fenced\"}"};
      }
      if (epoch > producer->epoch) {
        *producer = {epoch, 0, false, {}};
      }
      if (!body.empty() && producer->has_sequence) {
        const auto known = producer->answers.find(sequence);
        if (known != producer->answers.end()) {
          return {200, known->second};
        }
        if (sequence != producer->sequence + 1) {
          return {409, "{\"reason\":\"seq\",\"sequence\":" +
                           std::to_string(producer->sequence + 1) + "}"};
        }
      }
    }
    const size_t offset = topic.records.size();
    for (size_t at = 0; at + 4 <= body.size();) {
      const auto* p = reinterpret_cast<const unsigned char*>(body.data() + at);
      const size_t n = (size_t{p[0]} << 24) | (size_t{p[1]} << 16) |
                       (size_t{p[2]} << 8) | size_t{p[3]};
      const size_t key = p[4];
      Apply(&topic,
            {body.substr(at + 5, key), body.substr(at + 5 + key, n - 1 - key)});
      at += 4 + n;
    }
    const std::string answer =
        "{\"offset\":" + std::to_string(offset) +
        ",\"end_offset\":" + std::to_string(topic.records.size()) + "}";
    if (producer != nullptr && !body.empty()) {
      producer->has_sequence = true;
      producer->sequence = sequence;
      producer->answers[sequence] = answer;
      while (producer->answers.size() > 5) {
        producer->answers.erase(producer->answers.begin());
      }
    }
    return {200, answer};
  }

  Reply Read(const Topic& topic,
             int64_t from,
             std::map<std::string, std::string>& query) {
    const auto end = static_cast<int64_t>(topic.records.size());
    if (from > end) {
      return {410, "{\"first_offset\":0}"};
    }
    const size_t most =
        1024 * (query.count("max_kilobytes")
                    ? strtoul(query["max_kilobytes"].c_str(), nullptr, 10)
                    : 1024);
    std::string body = Big(static_cast<uint64_t>(end), 8) + Big(0, 8);
    for (int64_t i = from; i < end && body.size() < most; ++i) {
      const Record& it = topic.records[static_cast<size_t>(i)];
      body += Big(1 + it.key.size() + it.value.size(), 4) +
              Big(it.key.size(), 1) + it.key + it.value;
    }
    return {200, body};
  }

  static std::string Base64(const std::string& in) {
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < in.size(); i += 3) {
      uint32_t n = 0;
      for (size_t j = 0; j < 3; ++j) {
        n = (n << 8) |
            (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0);
      }
      for (size_t j = 0; j < 4; ++j) {
        out.push_back(i + j <= in.size() ? digits[(n >> (18 - 6 * j)) & 63]
                                         : '=');
      }
    }
    return out;
  }

  Reply Newest(std::map<std::string, std::string>& query) {
    const Topic& topic = topics_[query["topic"]];
    auto it = query.count("after") ? topic.newest.upper_bound(query["after"])
                                   : topic.newest.begin();
    std::string items;
    for (int n = 0; it != topic.newest.end() && n < 500; ++it, ++n) {
      items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" +
               it->first + "\",\"value\":\"" + Base64(it->second.first) +
               "\",\"offset\":" + std::to_string(it->second.second) + "}";
    }
    return {200, "{\"items\":[" + items + "],\"has_more\":" +
                     (it != topic.newest.end() ? "true" : "false") +
                     ",\"end_offset\":" + std::to_string(topic.records.size()) +
                     "}"};
  }

  int fd_;
  int port_;
  std::mutex mutex_;
  std::atomic<bool> away_{false};
  int64_t era_ = 1;
  std::map<std::string, Topic> topics_;
  std::map<std::string, Topic> copy_;
};

// A TCP proxy on loopback to one port. While cut, it passes nothing on in
// either direction and answers nothing; bytes are held up.
class Link {
 public:
  explicit Link(int target) : target_(target), fd_(Listen(0)) {
    port_ = PortOf(fd_);
    std::thread([this] {
      while (true) {
        const int from = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (from >= 0) {
          std::thread([this, from] { Pass(from); }).detach();
        }
      }
    }).detach();
  }

  int port() const { return port_; }
  void SetCut(bool cut) { cut_ = cut; }

 private:
  void Pass(int from) {
    while (cut_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    const int to = Connect(target_);
    const int ends[2] = {from, to};
    bool open = to >= 0;
    while (open) {
      pollfd p[2] = {{from, POLLIN, 0}, {to, POLLIN, 0}};
      poll(p, 2, 20);
      while (cut_) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
      }
      for (int i = 0; i < 2 && open; ++i) {
        if ((p[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) {
          continue;
        }
        std::string buf;
        open = ReadSome(ends[i], &buf, 0) == Got::kData &&
               SendAll(ends[1 - i], buf);
      }
    }
    close(from);
    if (to >= 0) {
      close(to);
    }
  }

  int target_;
  int fd_;
  int port_ = 0;
  std::atomic<bool> cut_{false};
};

}  // namespace standin
