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
  if (Switch("outage", false)) {
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
  const int64_t delay = Switch("delay_ms", int64_t{0});
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

bool StandInLog::OverRate() {
  const int64_t second = MonotonicNow().count() / kSecond.count();
  if (second != second_) {
    second_ = second;
    in_second_ = 0;
  }
  return ++in_second_ > Switch("appends_per_second", int64_t{400});
}

void StandInLog::Append(SoupServerMessage* message, const std::string& stream) {
  if (OverRate()) {
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
  while (it.entries.size() > Switch("keep", uint64_t{1} << 40)) {
    it.entries.pop_front();
    ++it.first;
  }
  const int64_t lose = Switch("lose_answers", int64_t{0});
  if (lose > 0) {
    switches()["lose_answers"] = lose - 1;
    Cut(message);
  } else {
    Reply(message, 200, json{{"offset", offset}});
  }
  Wake(stream);
}

void StandInLog::Read(SoupServerMessage* message,
                      const std::string& stream,
                      const Query& query) {
  auto reader = std::make_shared<Reader>();
  reader->message = message;
  reader->stream = stream;
  reader->from = std::stoull(query.at("from"));
  reader->most = std::stoull(query.at("max"));
  const int64_t wait = std::stoll(query.at("wait_ms"));
  if (reader->from < streams_[stream].end() || wait == 0) {
    Answer(*reader);
    return;
  }
  soup_server_message_pause(message);
  g_object_ref(message);
  readers_.push_back(reader);
  const auto end = [this, reader] {
    if (!reader->done) {
      Answer(*reader);
      soup_server_message_unpause(reader->message);
      g_object_unref(reader->message);
    }
  };
  After(wait, end);
}

void StandInLog::Answer(Reader& reader) {
  reader.done = true;
  const Stream& it = streams_[reader.stream];
  json records = json::array();
  const uint64_t from = std::max(reader.from, it.first);
  const uint64_t to = std::min<uint64_t>(it.end(), from + reader.most);
  for (uint64_t offset = from; offset < to; ++offset) {
    records.push_back(
        {{"offset", offset}, {"data", it.entries[offset - it.first]}});
  }
  Reply(reader.message, 200, json{{"records", records}, {"end", it.end()}});
}

void StandInLog::Wake(const std::string& stream) {
  for (const auto& it : readers_) {
    if (!it->done && it->stream == stream &&
        it->from < streams_[stream].end()) {
      Answer(*it);
      soup_server_message_unpause(it->message);
      g_object_unref(it->message);
    }
  }
  std::erase_if(readers_, [](const auto& it) { return it->done; });
}

}  // namespace tamaracktrail
