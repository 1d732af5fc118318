#include "support/stand_in_store.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "platform/wire_names.h"
#include "support/loopback.h"
#include "transport/event_loop.h"
#include "transport/relay/caller_connection.h"
#include "transport/relay/caller_request.h"

namespace tamaracktrail {

using nlohmann::json;
using platform::StoreRecord;

namespace {

//! Interval at which a waiting read checks for new records.
constexpr Millis kPollInterval{5};

int64_t IntParameter(const std::map<std::string, std::string>& query,
                     const std::string& key) {
  const auto it = query.find(key);
  int64_t n = 0;
  return it != query.end() && absl::SimpleAtoi(it->second, &n) ? n : 0;
}

}  // namespace

//! One call that the store handles.
class StandInStore::Task : public RequestTask {
 public:
  Task(StandInStore* store, CallerConnection* connection, CallerRequest request)
      : store_(store), connection_(connection), request_(std::move(request)) {}

  ~Task() override { store_->loop_->Cancel(&timer_); }

  void Start() override {
    ++store_->calls_;
    const std::vector<std::string> parts =
        absl::StrSplit(request_.target, absl::MaxSplits('?', 1));
    path_ = parts[0];
    if (parts.size() > 1) {
      for (const absl::string_view it : absl::StrSplit(parts[1], '&')) {
        const std::vector<std::string> pair = absl::StrSplit(it, '=');
        query_[pair[0]] = pair.size() > 1 ? pair[1] : "";
      }
    }
    start_time_ = store_->loop_->Now();
    if (store_->faults_.unresponsive) {
      return;
    }
    timer_ = store_->loop_->After(store_->faults_.delay, [this] { Run(); });
  }

  void OnCallerDrained() override {}

 private:
  void Run() {
    if (store_->faults_.refuse ||
        (!store_->faults_.refuse_topic.empty() &&
         query_["topic"] == store_->faults_.refuse_topic)) {
      Reply({503, ""});
      return;
    }
    if (path_ == platform::kAppendPath) {
      const Answer answer = store_->Append(query_, *request_.body);
      if (!store_->faults_.lose_append_answers) {
        Reply(answer);
      }
      return;
    }
    if (path_ == platform::kNewestPath) {
      Reply(store_->ListNewest(query_));
      return;
    }
    const Topic& topic = store_->topics_[query_["topic"]];
    const Millis wait(IntParameter(query_, "wait_ms"));
    if (topic.end() <= IntParameter(query_, "from") &&
        store_->loop_->Now() - start_time_ < wait) {
      timer_ = store_->loop_->After(kPollInterval, [this] { Run(); });
      return;
    }
    Reply(store_->Read(query_));
  }

  void Reply(const Answer& answer) {
    const Millis delay = store_->faults_.answer_delay;
    if (delay > Millis(0)) {
      timer_ = store_->loop_->After(delay, [this, answer] { Send(answer); });
      return;
    }
    Send(answer);
  }

  void Send(const Answer& answer) {
    AnswerHead head;
    head.fields.Add(platform::kStoreGenerationField,
                    absl::StrCat(store_->generation_));
    head.status = answer.first;
    head.reason = "Answer";
    connection_->Answer(std::move(head), answer.second);
  }

  StandInStore* store_;
  CallerConnection* connection_;
  CallerRequest request_;
  std::string path_;
  std::map<std::string, std::string> query_;
  Millis start_time_;
  EventLoop::TimerId timer_{};
};

StandInStore::StandInStore(EventLoop* loop) : loop_(loop) {
  const auto [fd, address] = ListenOnFreePort();
  address_ = address;
  server_ = std::make_unique<RelayServer>(
      loop, fd, 1000,
      [this](CallerConnection* connection, CallerRequest request) {
        return std::make_unique<Task>(this, connection, std::move(request));
      },
      &metrics_);
}

StandInStore::~StandInStore() = default;

void StandInStore::ApplyRecord(Topic* topic, const StoreRecord& record) {
  topic->records.push_back(record);
  if (record.value.empty()) {
    topic->newest.erase(record.key);
  } else {
    topic->newest[record.key] = record;
  }
}

void StandInStore::Put(const std::string& topic,
                       const std::string& key,
                       const std::string& value) {
  ApplyRecord(&topics_[topic], {key, value});
}

void StandInStore::Compact(const std::string& name) {
  Topic& topic = topics_[name];
  topic.first_offset = topic.end();
  topic.records.clear();
}

class StandInStore::Copy {
 public:
  std::map<std::string, Topic> topics;
};

std::shared_ptr<const StandInStore::Copy> StandInStore::MakeCopy() const {
  auto copy = std::make_shared<Copy>();
  copy->topics = topics_;
  return copy;
}

void StandInStore::Restore(const Copy& copy, bool rewrite) {
  const auto lost = std::exchange(topics_, copy.topics);
  ++generation_;
  for (const char* name :
       {platform::kOperatorTopic, platform::kEndpointTopic}) {
    const auto topic = lost.find(name);
    if (topic == lost.end() || !rewrite) {
      continue;
    }
    const auto restored = topics_[name].newest;
    for (const auto& [key, record] : topic->second.newest) {
      if (Newest(name, key) != record.value) {
        ApplyRecord(&topics_[name], record);
      }
    }
    for (const auto& [key, record] : restored) {
      if (!topic->second.newest.contains(key)) {
        ApplyRecord(&topics_[name], {key, ""});
      }
    }
  }
}

std::string StandInStore::Newest(const std::string& topic,
                                 const std::string& key) const {
  const auto it = topics_.find(topic);
  if (it == topics_.end()) {
    return "";
  }
  const auto record = it->second.newest.find(key);
  return record == it->second.newest.end() ? "" : record->second.value;
}

StandInStore::Answer StandInStore::Append(
    const std::map<std::string, std::string>& query,
    const std::string& body) {
  Topic& topic = topics_[query.at("topic")];
  const auto producer_name = query.find("producer");
  Producer* producer = producer_name == query.end()
                           ? nullptr
                           : &topic.producers[producer_name->second];
  const auto epoch = static_cast<uint64_t>(IntParameter(query, "epoch"));
  const auto sequence = static_cast<uint64_t>(IntParameter(query, "sequence"));
  if (producer != nullptr) {
    if (epoch < producer->epoch) {
      return {409, json{{"reason", "fenced"}}.dump()};
    }
    if (epoch > producer->epoch) {
      *producer = {epoch, 0, false, ""};
    }
    if (producer->has_sequence && !body.empty()) {
      if (sequence == producer->sequence) {
        return {200, producer->answer};
      }
      if (sequence != producer->sequence + 1) {
        return {409,
                json{{"reason", "seq"}, {"sequence", producer->sequence + 1}}
                    .dump()};
      }
    }
  }
  const int64_t offset = topic.end();
  // An append has the record format of a read, without its 16 bytes of offsets.
  const auto batch = platform::DecodeBatch(std::string(16, '\0') + body);
  for (const StoreRecord& it : batch->records) {
    ApplyRecord(&topic, it);
  }
  const std::string answer =
      json{{"offset", offset}, {"end_offset", topic.end()}}.dump();
  if (producer != nullptr && !body.empty()) {
    producer->has_sequence = true;
    producer->sequence = sequence;
    producer->answer = answer;
  }
  return {200, answer};
}

StandInStore::Answer StandInStore::Read(
    const std::map<std::string, std::string>& query) {
  const Topic& topic = topics_[query.at("topic")];
  const int64_t from = IntParameter(query, "from");
  if (from < topic.first_offset || from > topic.end()) {
    return {410, json{{"first_offset", topic.first_offset}}.dump()};
  }
  unsigned char offsets[16];
  boost::endian::store_big_u64(offsets, static_cast<uint64_t>(topic.end()));
  boost::endian::store_big_u64(offsets + 8,
                               static_cast<uint64_t>(topic.first_offset));
  std::string body(reinterpret_cast<const char*>(offsets), sizeof(offsets));
  const auto begin = static_cast<size_t>(std::min<int64_t>(
      from - topic.first_offset, static_cast<int64_t>(topic.records.size())));
  body += platform::EncodeRecords(
      {topic.records.begin() + static_cast<int64_t>(begin),
       topic.records.end()});
  return {200, body};
}

StandInStore::Answer StandInStore::ListNewest(
    const std::map<std::string, std::string>& query) {
  const Topic& topic = topics_[query.at("topic")];
  const auto after = query.find("after");
  json items = json::array();
  auto it = after == query.end() ? topic.newest.begin()
                                 : topic.newest.upper_bound(after->second);
  for (; it != topic.newest.end() && items.size() < page_size_; ++it) {
    items.push_back(
        {{"key", it->first}, {"value", absl::Base64Escape(it->second.value)}});
  }
  return {200, json{{"items", items},
                    {"has_more", it != topic.newest.end()},
                    {"end_offset", topic.end()}}
                   .dump()};
}

}  // namespace tamaracktrail
