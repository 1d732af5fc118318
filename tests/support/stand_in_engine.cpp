#include "support/stand_in_engine.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "absl/strings/str_cat.h"
#include "state/digest.h"
#include "transport/clock.h"

namespace tamaracktrail {

using nlohmann::json;

struct StandInEngine::Stream {
  SoupServerMessage* message = nullptr;
  gulong finished = 0;
  std::string attempt;
  std::string prompt;
  bool chat = true;
  int priority = 5;
  uint64_t next = 0;
  uint64_t words = 0;
  uint64_t wrong_at = UINT64_MAX;
  bool gone = false;
};

namespace {

constexpr size_t kPrefixBytes = 1024;
constexpr int kDecimal = 10;

std::string PromptOf(const json& body) {
  std::string prompt = body.value("prompt", "");
  for (const json& it : body.value("messages", json::array())) {
    prompt += it.value("content", "");
  }
  return prompt;
}

uint64_t WordsOf(const std::string& prompt, int64_t max_tokens) {
  constexpr uint64_t kDefaultWords = 12;
  uint64_t words = kDefaultWords;
  const size_t at = prompt.find("words=");
  if (at != std::string::npos) {
    words = std::strtoull(prompt.c_str() + at + 6, nullptr, 10);
  }
  return std::min<uint64_t>(words, static_cast<uint64_t>(max_tokens));
}

int64_t PromptTokens(const std::string& prompt) {
  constexpr int64_t kBytesPerToken = 4;
  return static_cast<int64_t>(prompt.size()) / kBytesPerToken + 1;
}

}  // namespace

StandInEngine::StandInEngine(std::string name)
    : name_(std::move(name)), boot_(StableHash(name_)) {}

void StandInEngine::OnControl() {
  const std::string load = Switch("load", std::string());
  if (!load.empty()) {
    loaded_.insert(load);
  }
}

void StandInEngine::OnRequest(SoupServerMessage* message,
                              const std::string& path,
                              const Query& query) {
  if (path == "/cache_events") {
    CacheEvents(message, query);
  } else if (path == "/health") {
    Health(message);
  } else if (path == "/orders") {
    TakeOrder(message);
  } else if (path.ends_with("/completions")) {
    Generate(message, path);
  } else if (path == "/stats") {
    Reply(message, 200,
          json{{"runs", runs_},
               {"crashes", crashes_},
               {"cache_hits", cache_hits_}});
  } else {
    Reply(message, 404, json{{"error", "no such path"}});
  }
}

void StandInEngine::Health(SoupServerMessage* message) {
  const int64_t now = MonotonicNow().count();
  const int64_t lag = Switch("load_lag_ms", int64_t{200});
  load_history_.emplace_back(now, running_.size() + waiting_.size());
  while (load_history_.size() > 1 && load_history_[1].first + lag <= now) {
    load_history_.pop_front();
  }
  Reply(message, 200,
        json{{"boot_id", Hex(boot_)},
             {"leaving", Switch("leaving", false)},
             {"load", load_history_.front().second},
             {"loaded", loaded_}});
}

void StandInEngine::TakeOrder(SoupServerMessage* message) {
  const json body = json::parse(Body(message), nullptr, false);
  const uint64_t number = body.value("fencing_number", uint64_t{0});
  if (Switch("checks_fencing", true) && number < highest_fencing_) {
    Reply(message, 409, json{{"error", "old fencing number"}});
    return;
  }
  highest_fencing_ = std::max(highest_fencing_, number);
  const std::string target = body.value("target", "");
  if (body.value("action", "") == "unload") {
    loaded_.erase(target);
  } else {
    loaded_.insert(target);
  }
  Reply(message, 200, json{{"loaded", loaded_}});
}

void StandInEngine::Generate(SoupServerMessage* message,
                             const std::string& path) {
  if (Switch("refuse", false) || Switch("leaving", false)) {
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "X-Not-Run", "1");
    Reply(message, 503, json{{"error", "refused"}});
    return;
  }
  const json body = json::parse(Body(message), nullptr, false);
  auto stream = std::make_shared<Stream>();
  stream->prompt = PromptOf(body);
  if (stream->prompt.find("CRASH") != std::string::npos) {
    Cut(message);
    Crash();
    return;
  }
  ++runs_;
  stream->message = message;
  stream->chat = path.find("chat") != std::string::npos;
  stream->attempt = Header(message, "X-Attempt-Id");
  stream->words = WordsOf(stream->prompt, body.value("max_tokens", 16));
  stream->next = std::strtoull(Header(message, "X-Resume-From").c_str(),
                               nullptr, kDecimal);
  stream->priority = static_cast<int>(
      std::strtol(Header(message, "X-Priority").c_str(), nullptr, kDecimal));
  if (Switch("wrong_attempt", false)) {
    switches()["wrong_attempt"] = false;
    stream->wrong_at = stream->next + 1;
  }
  g_object_ref(message);
  soup_server_message_set_status(message, 200, nullptr);
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message);
  soup_message_headers_set_content_type(headers, "text/event-stream", nullptr);
  soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(message), FALSE);
  soup_server_message_pause(message);
  stream->finished = g_signal_connect(
      message, "finished", G_CALLBACK(+[](SoupServerMessage*, gpointer data) {
        static_cast<Stream*>(data)->gone = true;
      }),
      stream.get());
  waiting_.push_back(stream);
  StartNext();
}

void StandInEngine::StartNext() {
  while (!waiting_.empty() &&
         running_.size() < Switch("capacity", size_t{16})) {
    const auto it = std::min_element(
        waiting_.begin(), waiting_.end(),
        [](const auto& a, const auto& b) { return a->priority < b->priority; });
    const std::shared_ptr<Stream> stream = *it;
    waiting_.erase(it);
    running_.insert(stream);
    Run(stream);
  }
}

bool StandInEngine::TouchCache(const std::string& prefix) {
  const auto it = std::find(cache_.begin(), cache_.end(), prefix);
  const bool hit = it != cache_.end();
  if (hit) {
    cache_.erase(it);
    ++cache_hits_;
  }
  cache_.push_front(prefix);
  if (!hit) {
    Publish("cached", prefix);
  }
  if (cache_.size() > Switch("cache_entries", size_t{32})) {
    Publish("evicted", cache_.back());
    cache_.pop_back();
  }
  return hit;
}

void StandInEngine::Publish(const std::string& kind,
                            const std::string& prefix) {
  constexpr size_t kKeptEvents = 1000;
  ++cache_sequence_;
  if (cache_sequence_ % Switch("event_gap", uint64_t{7}) == 0) {
    return;
  }
  cache_events_.push_back(
      {cache_sequence_, MonotonicNow().count(), kind, Hex(StableHash(prefix))});
  if (cache_events_.size() > kKeptEvents) {
    cache_events_.pop_front();
  }
}

void StandInEngine::CacheEvents(SoupServerMessage* message,
                                const Query& query) {
  const auto it = query.find("from");
  const uint64_t from = it == query.end() ? 1 : std::stoull(it->second);
  const int64_t seen =
      MonotonicNow().count() - Switch("event_lag_ms", int64_t{300});
  json events = json::array();
  for (const CacheEvent& event : cache_events_) {
    if (event.sequence >= from && event.at <= seen) {
      events.push_back({{"sequence", event.sequence},
                        {"kind", event.kind},
                        {"prefix", event.prefix}});
    }
  }
  Reply(message, 200, json{{"events", events}});
}

void StandInEngine::Run(const std::shared_ptr<Stream>& stream) {
  const bool hit = TouchCache(stream->prompt.substr(0, kPrefixBytes));
  const int64_t wait = hit ? Switch("cached_prefill_ms", int64_t{2})
                           : Switch("prefill_ms", int64_t{10});
  After(wait, [this, stream] { Step(stream); });
}

void StandInEngine::Step(const std::shared_ptr<Stream>& stream) {
  if (stream->gone) {
    End(stream);
    return;
  }
  const int64_t cut_after = Switch("cut_after", int64_t{-1});
  if (cut_after >= 0 && stream->next >= static_cast<uint64_t>(cut_after)) {
    switches()["cut_after"] = -1;
    Cut(stream->message);
    soup_server_message_unpause(stream->message);
    End(stream);
    return;
  }
  if (stream->next >= stream->words) {
    SendEnd(*stream);
    End(stream);
    return;
  }
  SendChunk(*stream);
  ++stream->next;
  const int64_t pause = Switch("token_ms", int64_t{3});
  After(pause, [this, stream] { Step(stream); });
}

void StandInEngine::SendChunk(Stream& stream) {
  const std::string word = absl::StrCat(
      Hex(StableHash(stream.prompt, stream.next)).substr(0, 4), " ");
  json choice = {{"index", 0}};
  if (stream.chat) {
    choice["delta"] = {{"content", word}};
  } else {
    choice["text"] = word;
  }
  const json chunk = {{"choices", json::array({choice})}};
  const std::string attempt =
      stream.next == stream.wrong_at ? "another" : stream.attempt;
  const std::string event = absl::StrCat("id: ", attempt, ":", stream.next,
                                         "\ndata: ", chunk.dump(), "\n\n");
  soup_message_body_append(
      soup_server_message_get_response_body(stream.message), SOUP_MEMORY_COPY,
      event.data(), event.size());
  soup_server_message_unpause(stream.message);
}

void StandInEngine::SendEnd(Stream& stream) {
  const json usage = {{"choices", json::array()},
                      {"usage",
                       {{"prompt_tokens", PromptTokens(stream.prompt)},
                        {"completion_tokens", stream.words}}}};
  const std::string event =
      absl::StrCat("id: ", stream.attempt, ":", stream.next,
                   "\ndata: ", usage.dump(), "\n\ndata: [DONE]\n\n");
  SoupMessageBody* body = soup_server_message_get_response_body(stream.message);
  soup_message_body_append(body, SOUP_MEMORY_COPY, event.data(), event.size());
  soup_message_body_complete(body);
  soup_server_message_unpause(stream.message);
}

void StandInEngine::End(const std::shared_ptr<Stream>& stream) {
  if (running_.erase(stream) > 0) {
    g_signal_handler_disconnect(stream->message, stream->finished);
    g_object_unref(stream->message);
    StartNext();
  }
}

void StandInEngine::Crash() {
  ++crashes_;
  ++boot_;
  for (const auto& stream : std::set(running_)) {
    Cut(stream->message);
    stream->gone = true;
  }
  waiting_.clear();
  cache_.clear();
  const int at = port();
  After(0, [this, at] {
    Close();
    After(Switch("restart_ms", int64_t{500}), [this, at] { Listen(at); });
  });
}

}  // namespace tamaracktrail
