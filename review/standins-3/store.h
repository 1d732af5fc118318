// A stand-in for the platform's store: the log calls of the protocol page that
// the instances make. One thread a connection.
#ifndef REVIEW_STANDINS_3_STORE_H_
#define REVIEW_STANDINS_3_STORE_H_

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.h"

namespace review {

class Store {
 public:
  Store() {
    fd_ = Listen(0);
    port_ = PortOf(fd_);
    std::thread([this] { Accept(); }).detach();
  }

  int port() const { return port_; }

  // A copy of all topics, as the drill of NEW_RULES.md restores one.
  struct Copy;
  std::shared_ptr<const Copy> MakeCopy();

  // The store is away: it takes calls and answers none of them, also not later.
  void GoAway() {
    std::lock_guard<std::mutex> lock(mutex_);
    away_ = true;
    ++life_;
    changed_.notify_all();
  }

  // It is back, from a copy; what the operator and the engines wrote since is
  // written again.
  void ComeBack(const Copy& copy);

  // What the operator and the engines write. An empty value drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    Add(&topics_[topic], Encode(key, value));
    changed_.notify_all();
  }

 private:
  struct Producer {
    long long epoch = -1;
    long long sequence = -1;
    std::map<long long, std::string> answers;  // Of the last five appends.
  };
  struct Topic {
    std::vector<std::string> records;  // Without their lengths.
    std::map<std::string, std::pair<std::string, size_t>> newest;
    std::map<std::string, Producer> producers;
  };

  // Whether a call that began in this life is still answered.
  bool MayAnswer(long long life) {
    std::lock_guard<std::mutex> lock(mutex_);
    return !away_ && life == life_;
  }

  static std::string Encode(const std::string& key, const std::string& value) {
    return std::string(1, static_cast<char>(key.size())) + key + value;
  }

  static void Add(Topic* topic, const std::string& record) {
    const size_t n = record.empty() ? 0 : static_cast<unsigned char>(record[0]);
    if (!record.empty() && record.size() > n) {
      const std::string key = record.substr(1, n);
      const std::string value = record.substr(1 + n);
      if (value.empty()) {
        topic->newest.erase(key);
      } else {
        topic->newest[key] = {value, topic->records.size()};
      }
    }
    topic->records.push_back(record);
  }

  static std::string Big(unsigned long long value, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) {
      out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
    }
    return out;
  }

  static std::string Base64(const std::string& in) {
    static const char kDigits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < in.size(); i += 3) {
      unsigned n = 0;
      for (size_t j = 0; j < 3; ++j) {
        n = n << 8 |
            (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0);
      }
      for (int j = 0; j < 4; ++j) {
        out.push_back(i + static_cast<size_t>(j) > in.size()
                          ? '='
                          : kDigits[n >> (18 - 6 * j) & 63]);
      }
    }
    return out;
  }

  static std::string Unescape(const std::string& in) {
    std::string out;
    for (size_t i = 0; i < in.size(); ++i) {
      if (in[i] == '%' && i + 2 < in.size()) {
        out.push_back(static_cast<char>(
            strtol(in.substr(i + 1, 2).c_str(), nullptr, 16)));
        i += 2;
      } else {
        out.push_back(in[i]);
      }
    }
    return out;
  }

  using Query = std::map<std::string, std::string>;

  static Query ParseQuery(const std::string& target) {
    Query query;
    size_t at = target.find('?');
    while (at != std::string::npos) {
      const size_t next = target.find('&', at + 1);
      const std::string pair = target.substr(
          at + 1, next == std::string::npos ? next : next - at - 1);
      const size_t equals = pair.find('=');
      query[pair.substr(0, equals)] =
          equals == std::string::npos ? "" : Unescape(pair.substr(equals + 1));
      at = next;
    }
    return query;
  }

  void Accept() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }

  void Serve(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::string buf;
    std::string body;
    Head head;
    while (ReadRequest(fd, &buf, &head, &body)) {
      const size_t space = head.start.find(' ');
      const std::string target =
          head.start.substr(space + 1, head.start.rfind(' ') - space - 1);
      Query query = ParseQuery(target);
      const std::string path = target.substr(0, target.find('?'));
      std::string answer;
      int status = 200;
      long long life = 0;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        life = away_ ? -1 : life_;
      }
      if (life < 0) {
        continue;  // Silent; the caller gives up on the connection.
      }
      SleepMs(2);  // An answer of the store takes some milliseconds.
      if (path == "/tamaracktrail/log-append") {
        status = Append(query, body, &answer);
      } else if (path == "/tamaracktrail/log-read") {
        status = Read(query, &answer);
      } else if (path == "/tamaracktrail/log-newest") {
        answer = List(query);
      } else {
        status = 404;
      }
      if (!MayAnswer(life)) {
        continue;
      }
      if (!SendAll(fd,
                   "HTTP/1.1 " + std::to_string(status) +
                       " Answer\r\nStore-Era: " + std::to_string(era_) +
                       "\r\nContent-Length: " + std::to_string(answer.size()) +
                       "\r\n\r\n" + answer)) {
        break;
      }
    }
    close(fd);
  }

  int Append(Query& query, const std::string& body, std::string* answer) {
    if (query["topic"] == "keyed.op" || query["topic"] == "keyed.servers") {
      return 403;
    }
    std::lock_guard<std::mutex> lock(mutex_);
    if (away_) {
      return 503;
    }
    Topic& topic = topics_[query["topic"]];
    Producer* producer = nullptr;
    const long long sequence = atoll(query["sequence"].c_str());
    if (query.count("producer") > 0) {
      producer = &topic.producers[query["producer"]];
      const long long epoch = atoll(query["epoch"].c_str());
      if (epoch < producer->epoch) {
        *answer = "{\"reason\":\"fenced\"}";
        return 409;
      }
      if (epoch > producer->epoch) {
        *producer = {epoch, -1, {}};
      }
      if (!body.empty() && producer->sequence >= 0) {
        const auto known = producer->answers.find(sequence);
        if (known != producer->answers.end()) {
          *answer = known->second;
          return 200;
        }
        if (sequence != producer->sequence + 1) {
          *answer = "{\"reason\":\"seq\",\"sequence\":" +
                    std::to_string(producer->sequence + 1) + "}";
          return 409;
        }
      }
    }
    const size_t offset = topic.records.size();
    size_t at = 0;
    while (at + 4 <= body.size()) {
      size_t n = 0;
      for (int i = 0; i < 4; ++i) {
        n = n << 8 |
            static_cast<unsigned char>(body[at + static_cast<size_t>(i)]);
      }
      Add(&topic, body.substr(at + 4, n));
      at += 4 + n;
    }
    *answer = "{\"offset\":" + std::to_string(offset) +
              ",\"end_offset\":" + std::to_string(topic.records.size()) + "}";
    if (producer != nullptr && !body.empty()) {
      producer->sequence = sequence;
      producer->answers[sequence] = *answer;
      if (producer->answers.size() > 5) {
        producer->answers.erase(producer->answers.begin());
      }
    }
    changed_.notify_all();
    return 200;
  }

  int Read(Query& query, std::string* answer) {
    std::unique_lock<std::mutex> lock(mutex_);
    Topic& topic = topics_[query["topic"]];
    const size_t from = static_cast<size_t>(atoll(query["from"].c_str()));
    if (from > topic.records.size()) {
      *answer = "{\"first_offset\":0}";
      return 410;
    }
    changed_.wait_for(
        lock, std::chrono::milliseconds(atoll(query["wait_ms"].c_str())),
        [&, life = life_] {
          return topic.records.size() > from || life != life_;
        });
    if (from > topic.records.size()) {
      *answer = "{\"first_offset\":0}";
      return 410;
    }
    const size_t limit =
        1024 * (query.count("max_kilobytes") > 0
                    ? static_cast<size_t>(atoll(query["max_kilobytes"].c_str()))
                    : 1024);
    *answer = Big(topic.records.size(), 8) + Big(0, 8);
    for (size_t i = from; i < topic.records.size() && answer->size() < limit;
         ++i) {
      *answer += Big(topic.records[i].size(), 4) + topic.records[i];
    }
    return 200;
  }

  std::string List(Query& query) {
    std::lock_guard<std::mutex> lock(mutex_);
    Topic& topic = topics_[query["topic"]];
    std::string items;
    size_t n = 0;
    auto it = query.count("after") > 0
                  ? topic.newest.upper_bound(query["after"])
                  : topic.newest.begin();
    for (; it != topic.newest.end() && n < 500; ++it, ++n) {
      items += std::string(n == 0 ? "" : ",") + "{\"key\":\"" + it->first +
               "\",\"value\":\"" + Base64(it->second.first) +
               "\",\"offset\":" + std::to_string(it->second.second) + "}";
    }
    return "{\"items\":[" + items +
           "],\"has_more\":" + (it == topic.newest.end() ? "false" : "true") +
           ",\"end_offset\":" + std::to_string(topic.records.size()) + "}";
  }

  int fd_ = -1;
  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  bool away_ = false;
  long long life_ = 0;  // Changes when the store goes away.
  std::atomic<long long> era_{1};
};

struct Store::Copy {
  std::map<std::string, Topic> topics;
};

inline std::shared_ptr<const Store::Copy> Store::MakeCopy() {
  std::lock_guard<std::mutex> lock(mutex_);
  return std::make_shared<Copy>(Copy{topics_});
}

inline void Store::ComeBack(const Copy& copy) {
  std::lock_guard<std::mutex> lock(mutex_);
  const std::map<std::string, Topic> lost = std::exchange(topics_, copy.topics);
  ++era_;
  ++life_;
  away_ = false;
  for (const char* name : {"keyed.op", "keyed.servers"}) {
    const auto before = lost.find(name);
    if (before == lost.end()) {
      continue;
    }
    Topic& now = topics_[name];
    for (const auto& [key, newest] : before->second.newest) {
      const auto known = now.newest.find(key);
      if (known == now.newest.end() || known->second.first != newest.first) {
        Add(&now, Encode(key, newest.first));
      }
    }
  }
  changed_.notify_all();
}

}  // namespace review

#endif  // REVIEW_STANDINS_3_STORE_H_
