#ifndef REVIEW_STANDINS_2_STORE_H_
#define REVIEW_STANDINS_2_STORE_H_

#include <condition_variable>

#include "net.h"

namespace review {

//! The platform's store as PROTOCOL.md specifies it, for keyed topics with one
//! partition. Each instance reaches it at an address of its own, so that it can
//! be silent to some of them and serve the others.
class Store {
 public:
  //! The way to the store from one instance.
  struct Link {
    std::atomic<bool> silent{false};  //!< Calls have no effect and no answer.
    std::unique_ptr<Server> server;
    int port() const { return server->port(); }
  };

  Link* AddLink() {
    links_.push_back(std::make_unique<Link>());
    Link* link = links_.back().get();
    link->server = std::make_unique<Server>(
        [this, link](Connection& connection) { Serve(link, connection); });
    return link;
  }

  void Stop() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    for (const auto& it : links_) {
      it->server->Stop();
    }
  }
  ~Store() { Stop(); }

  //! Writes a record as the operator or an engine does. An empty value drops
  //! the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Add(&topics_[topic], key, value);
    changed_.notify_all();
  }

  //! Keeps a copy of all that the system and the others have written.
  void TakeCopy() {
    const std::lock_guard<std::mutex> lock(mutex_);
    copy_ = topics_;
  }

  //! Comes back from the copy: what was written since is gone, but for what the
  //! operator and the engines write again, and the era rises.
  void Restore() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto lost = std::exchange(topics_, copy_);
    ++era_;
    for (const char* name : {"keyed.op", "keyed.servers"}) {
      for (const auto& [key, value] : lost.at(name).newest) {
        Add(&topics_[name], key, value);
      }
    }
    changed_.notify_all();
  }

 private:
  struct Producer {
    uint64_t epoch = 0;
    bool has_sequence = false;
    uint64_t sequence = 0;
    std::string answer;
  };
  struct Topic {
    std::vector<std::pair<std::string, std::string>> records;
    std::map<std::string, std::string> newest;
    std::map<std::string, Producer> producers;
  };
  using Query = std::map<std::string, std::string>;

  static void Add(Topic* topic,
                  const std::string& key,
                  const std::string& value) {
    topic->records.emplace_back(key, value);
    if (value.empty()) {
      topic->newest.erase(key);
    } else {
      topic->newest[key] = value;
    }
  }

  static std::string Unescape(const std::string& text) {
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(
            std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }

  static Query ParseQuery(const std::string& text) {
    Query query;
    for (size_t at = 0; at < text.size();) {
      const size_t end = std::min(text.find('&', at), text.size());
      const std::string pair = text.substr(at, end - at);
      const size_t equals = std::min(pair.find('='), pair.size());
      query[pair.substr(0, equals)] =
          equals < pair.size() ? Unescape(pair.substr(equals + 1)) : "";
      at = end + 1;
    }
    return query;
  }

  static uint64_t Number(const Query& query, const std::string& key) {
    const auto it = query.find(key);
    return it == query.end() ? 0
                             : std::strtoull(it->second.c_str(), nullptr, 10);
  }

  static void PutBig(uint64_t n, int bytes, std::string* out) {
    for (int i = bytes - 1; i >= 0; --i) {
      out->push_back(static_cast<char>((n >> (8 * i)) & 0xff));
    }
  }

  static std::string Base64(const std::string& text) {
    static const char* const kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < text.size(); i += 3) {
      uint32_t n = 0;
      for (size_t j = 0; j < 3; ++j) {
        n = n << 8 |
            (i + j < text.size() ? static_cast<uint8_t>(text[i + j]) : 0);
      }
      for (size_t j = 0; j < 4; ++j) {
        out += i + j > text.size() ? '=' : kDigits[n >> (18 - 6 * j) & 63];
      }
    }
    return out;
  }

  void Serve(Link* link, Connection& connection) {
    Request request;
    while (connection.ReadRequest(&request)) {
      if (link->silent) {
        // Nothing further returns on this connection.
        while (connection.ReadRequest(&request)) {
        }
        return;
      }
      const size_t mark =
          std::min(request.target.find('?'), request.target.size());
      const std::string path = request.target.substr(0, mark);
      const Query query = ParseQuery(
          mark < request.target.size() ? request.target.substr(mark + 1) : "");
      int status = 200;
      std::string body;
      if (path == "/tamaracktrail/log-append") {
        status = Append(query, request.body, &body);
      } else if (path == "/tamaracktrail/log-newest") {
        Newest(query, &body);
      } else if (path == "/tamaracktrail/log-read") {
        status = Read(query, &body);
      } else {
        status = 404;
      }
      if (link->silent) {
        continue;
      }
      uint64_t era = 0;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        era = era_;
      }
      if (!connection.Write("HTTP/1.1 " + std::to_string(status) +
                            " Answer\r\nContent-Type: application/json\r\n"
                            "Store-Era: " +
                            std::to_string(era) + "\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  int Append(const Query& query, const std::string& body, std::string* answer) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Topic& topic = topics_[query.at("topic")];
    Producer* producer = nullptr;
    const auto name = query.find("producer");
    const uint64_t sequence = Number(query, "sequence");
    if (name != query.end()) {
      producer = &topic.producers[name->second];
      const uint64_t epoch = Number(query, "epoch");
      if (epoch < producer->epoch) {
        *answer = "{\"reason\":\"fenced\"}";
        return 409;
      }
      if (epoch > producer->epoch) {
        *producer = Producer{epoch, false, 0, ""};
      }
      if (!body.empty() && producer->has_sequence) {
        if (sequence == producer->sequence) {
          *answer = producer->answer;
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
    for (size_t at = 0; at + 4 < body.size();) {
      size_t n = 0;
      for (int i = 0; i < 4; ++i) {
        n = n << 8 | static_cast<uint8_t>(body[at++]);
      }
      const size_t key = static_cast<uint8_t>(body[at]);
      Add(&topic, body.substr(at + 1, key),
          body.substr(at + 1 + key, n - 1 - key));
      at += n;
    }
    *answer = "{\"offset\":" + std::to_string(offset) +
              ",\"end_offset\":" + std::to_string(topic.records.size()) + "}";
    if (producer != nullptr && !body.empty()) {
      producer->has_sequence = true;
      producer->sequence = sequence;
      producer->answer = *answer;
    }
    changed_.notify_all();
    return 200;
  }

  void Newest(const Query& query, std::string* body) {
    constexpr size_t kPage = 500;
    const std::lock_guard<std::mutex> lock(mutex_);
    const Topic& topic = topics_[query.at("topic")];
    const auto after = query.find("after");
    auto it = after == query.end() ? topic.newest.begin()
                                   : topic.newest.upper_bound(after->second);
    *body = "{\"items\":[";
    size_t n = 0;
    for (; it != topic.newest.end() && n < kPage; ++it, ++n) {
      *body += std::string(n == 0 ? "" : ",") + "{\"key\":\"" + it->first +
               "\",\"value\":\"" + Base64(it->second) + "\",\"offset\":0}";
    }
    *body += std::string("],\"has_more\":") +
             (it != topic.newest.end() ? "true" : "false") +
             ",\"end_offset\":" + std::to_string(topic.records.size()) + "}";
  }

  int Read(const Query& query, std::string* body) {
    std::unique_lock<std::mutex> lock(mutex_);
    const std::string name = query.at("topic");
    const uint64_t from = Number(query, "from");
    const uint64_t era = era_;
    changed_.wait_for(lock, std::chrono::milliseconds(Number(query, "wait_ms")),
                      [&] {
                        return stopping_ || era_ != era ||
                               topics_[name].records.size() > from;
                      });
    const Topic& topic = topics_[name];
    if (from > topic.records.size()) {
      *body = "{\"first_offset\":0}";
      return 410;
    }
    PutBig(topic.records.size(), 8, body);
    PutBig(0, 8, body);
    for (size_t i = from; i < topic.records.size(); ++i) {
      const auto& [key, value] = topic.records[i];
      PutBig(1 + key.size() + value.size(), 4, body);
      body->push_back(static_cast<char>(key.size()));
      *body += key + value;
    }
    return 200;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  uint64_t era_ = 1;
  std::map<std::string, Topic> topics_;
  std::map<std::string, Topic> copy_;
  std::vector<std::unique_ptr<Link>> links_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_STORE_H_
