#include "support/stand_in_log.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <memory>

#include "transport/clock.h"

namespace tamaracktrail {

using nlohmann::json;

void StandInLog::OnRequest(SoupServerMessage* message,
                           const std::string& path,
                           const Query& query) {
  const std::string prefix = "/streams/";
  const std::string suffix = "/records";
  if (ControlValue("outage", false)) {
    Reply(message, 503, json{{"error", "outage"}});
    return;
  }
  if (!path.starts_with(prefix) || !path.ends_with(suffix)) {
    Reply(message, 404, json{{"error", "no such path"}});
    return;
  }
  const std::string stream =
      path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
  const auto serve = [this, message, stream, query] {
    if (Method(message) == "POST") {
      Append(message, stream);
    } else {
      Read(message, stream, query);
    }
  };
  const int64_t delay = ControlValue("delay_ms", int64_t{0});
  if (delay == 0) {
    serve();
    return;
  }
  soup_server_message_pause(message);
  g_object_ref(message);
  After(delay, [serve, message] {
    serve();
    soup_server_message_unpause(message);
    g_object_unref(message);
  });
}

bool StandInLog::ExceedsAppendRate() {
  const int64_t current_second = MonotonicNow().count() / kSecond.count();
  if (current_second != current_second_) {
    current_second_ = current_second;
    appends_in_second_ = 0;
  }
  return ++appends_in_second_ >
         ControlValue("appends_per_second", int64_t{400});
}

void StandInLog::Append(SoupServerMessage* message, const std::string& stream) {
  if (ExceedsAppendRate()) {
    Reply(message, 429, json{{"error", "too many appends"}});
    return;
  }
  const json body = json::parse(Body(message), nullptr, false);
  if (!body.is_object() || !body.contains("data")) {
    Reply(message, 400, json{{"error", "no data"}});
    return;
  }
  Stream& it = streams_[stream];
  it.entries.push_back(body["data"].get<std::string>());
  ++appends_;
  const uint64_t offset = it.end() - 1;
  while (it.entries.size() > ControlValue("keep", uint64_t{1} << 40)) {
    it.entries.pop_front();
    ++it.first_offset;
  }
  const int64_t lost_answers_left = ControlValue("lose_answers", int64_t{0});
  if (lost_answers_left > 0) {
    control_values()["lose_answers"] = lost_answers_left - 1;
    CutConnection(message);
  } else {
    Reply(message, 200, json{{"offset", offset}});
  }
  AnswerPendingReads(stream);
}

void StandInLog::Read(SoupServerMessage* message,
                      const std::string& stream,
                      const Query& query) {
  auto read = std::make_shared<PendingRead>();
  read->message = message;
  read->stream = stream;
  read->from = std::stoull(query.at("from"));
  read->max_records = std::stoull(query.at("max"));
  const int64_t wait = std::stoll(query.at("wait_ms"));
  if (read->from < streams_[stream].end() || wait == 0) {
    Answer(*read);
    return;
  }
  soup_server_message_pause(message);
  g_object_ref(message);
  pending_reads_.push_back(read);
  const auto on_timeout = [this, read] {
    if (!read->done) {
      Answer(*read);
      soup_server_message_unpause(read->message);
      g_object_unref(read->message);
    }
  };
  After(wait, on_timeout);
}

void StandInLog::Answer(PendingRead& read) {
  read.done = true;
  const Stream& it = streams_[read.stream];
  json records = json::array();
  const uint64_t from = std::max(read.from, it.first_offset);
  const uint64_t to = std::min<uint64_t>(it.end(), from + read.max_records);
  for (uint64_t offset = from; offset < to; ++offset) {
    records.push_back(
        {{"offset", offset}, {"data", it.entries[offset - it.first_offset]}});
  }
  Reply(read.message, 200, json{{"records", records}, {"end", it.end()}});
}

void StandInLog::AnswerPendingReads(const std::string& stream) {
  for (const auto& it : pending_reads_) {
    if (!it->done && it->stream == stream &&
        it->from < streams_[stream].end()) {
      Answer(*it);
      soup_server_message_unpause(it->message);
      g_object_unref(it->message);
    }
  }
  std::erase_if(pending_reads_, [](const auto& it) { return it->done; });
}

}  // namespace tamaracktrail
