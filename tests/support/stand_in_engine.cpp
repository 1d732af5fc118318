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
  gulong finished_handler = 0;
  std::string attempt;
  std::string prompt;
  bool chat = true;
  int priority = 5;
  uint64_t next_word = 0;
  uint64_t word_count = 0;
  //! Index of the word that is sent with the id of another attempt.
  uint64_t wrong_attempt_at = UINT64_MAX;
  bool cancelled = false;
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

uint64_t WordCountOf(const std::string& prompt, int64_t max_tokens) {
  constexpr uint64_t kDefaultWordCount = 12;
  uint64_t word_count = kDefaultWordCount;
  const size_t at = prompt.find("words=");
  if (at != std::string::npos) {
    // Skips the 6 characters of "words=".
    word_count = std::strtoull(prompt.c_str() + at + 6, nullptr, 10);
  }
  return std::min<uint64_t>(word_count, static_cast<uint64_t>(max_tokens));
}

int64_t PromptTokens(const std::string& prompt) {
  constexpr int64_t kBytesPerToken = 4;
  return static_cast<int64_t>(prompt.size()) / kBytesPerToken + 1;
}

}  // namespace

StandInEngine::StandInEngine(std::string name)
    : name_(std::move(name)), boot_id_(StableHash(name_)) {}

void StandInEngine::OnControl() {
  const std::string load = ControlValue("load", std::string());
  if (!load.empty()) {
    loaded_.insert(load);
  }
}

void StandInEngine::OnRequest(SoupServerMessage* message,
                              const std::string& path,
                              const Query& query) {
  if (path == "/cache_events") {
    HandleCacheEvents(message, query);
  } else if (path == "/health") {
    HandleHealth(message);
  } else if (path == "/orders") {
    HandleOrder(message);
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

void StandInEngine::HandleHealth(SoupServerMessage* message) {
  const int64_t now = MonotonicNow().count();
  const int64_t lag = ControlValue("load_lag_ms", int64_t{200});
  load_history_.emplace_back(now, running_.size() + waiting_.size());
  while (load_history_.size() > 1 && load_history_[1].first + lag <= now) {
    load_history_.pop_front();
  }
  Reply(message, 200,
        json{{"boot_id", Hex(boot_id_)},
             {"leaving", ControlValue("leaving", false)},
             {"load", load_history_.front().second},
             {"loaded", loaded_}});
}

void StandInEngine::HandleOrder(SoupServerMessage* message) {
  const json body = json::parse(Body(message), nullptr, false);
  const uint64_t number = body.value("fencing_number", uint64_t{0});
  if (ControlValue("checks_fencing", true) &&
      number < highest_fencing_number_) {
    Reply(message, 409, json{{"error", "old fencing number"}});
    return;
  }
  highest_fencing_number_ = std::max(highest_fencing_number_, number);
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
  if (ControlValue("refuse", false) || ControlValue("leaving", false)) {
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "X-Not-Run", "1");
    Reply(message, 503, json{{"error", "refused"}});
    return;
  }
  const json body = json::parse(Body(message), nullptr, false);
  auto stream = std::make_shared<Stream>();
  stream->prompt = PromptOf(body);
  if (stream->prompt.find("CRASH") != std::string::npos) {
    CutConnection(message);
    Crash();
    return;
  }
  ++runs_;
  stream->message = message;
  stream->chat = path.find("chat") != std::string::npos;
  stream->attempt = Header(message, "X-Attempt-Id");
  stream->word_count =
      WordCountOf(stream->prompt, body.value("max_tokens", 16));
  stream->next_word = std::strtoull(Header(message, "X-Resume-From").c_str(),
                                    nullptr, kDecimal);
  stream->priority = static_cast<int>(
      std::strtol(Header(message, "X-Priority").c_str(), nullptr, kDecimal));
  if (ControlValue("wrong_attempt", false)) {
    control_values()["wrong_attempt"] = false;
    stream->wrong_attempt_at = stream->next_word + 1;
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
  stream->finished_handler = g_signal_connect(
      message, "finished", G_CALLBACK(+[](SoupServerMessage*, gpointer data) {
        static_cast<Stream*>(data)->cancelled = true;
      }),
      stream.get());
  waiting_.push_back(stream);
  StartNext();
}

void StandInEngine::StartNext() {
  while (!waiting_.empty() &&
         running_.size() < ControlValue("capacity", size_t{16})) {
    const auto it = std::min_element(
        waiting_.begin(), waiting_.end(),
        [](const auto& a, const auto& b) { return a->priority < b->priority; });
    const std::shared_ptr<Stream> stream = *it;
    waiting_.erase(it);
    running_.insert(stream);
    Prefill(stream);
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
    PublishCacheEvent("cached", prefix);
  }
  if (cache_.size() > ControlValue("cache_entries", size_t{32})) {
    PublishCacheEvent("evicted", cache_.back());
    cache_.pop_back();
  }
  return hit;
}

void StandInEngine::PublishCacheEvent(const std::string& kind,
                                      const std::string& prefix) {
  constexpr size_t kMaxCacheEvents = 1000;
  ++cache_sequence_;
  if (cache_sequence_ % ControlValue("event_gap", uint64_t{7}) == 0) {
    return;
  }
  cache_events_.push_back(
      {cache_sequence_, MonotonicNow().count(), kind, Hex(StableHash(prefix))});
  if (cache_events_.size() > kMaxCacheEvents) {
    cache_events_.pop_front();
  }
}

void StandInEngine::HandleCacheEvents(SoupServerMessage* message,
                                      const Query& query) {
  const auto it = query.find("from");
  const uint64_t from = it == query.end() ? 1 : std::stoull(it->second);
  const int64_t visible_until =
      MonotonicNow().count() - ControlValue("event_lag_ms", int64_t{300});
  json events = json::array();
  for (const CacheEvent& event : cache_events_) {
    if (event.sequence >= from && event.time_ms <= visible_until) {
      events.push_back({{"sequence", event.sequence},
                        {"kind", event.kind},
                        {"prefix", event.prefix}});
    }
  }
  Reply(message, 200, json{{"events", events}});
}

void StandInEngine::Prefill(const std::shared_ptr<Stream>& stream) {
  const bool hit = TouchCache(stream->prompt.substr(0, kPrefixBytes));
  const int64_t wait = hit ? ControlValue("cached_prefill_ms", int64_t{2})
                           : ControlValue("prefill_ms", int64_t{10});
  After(wait, [this, stream] { Step(stream); });
}

void StandInEngine::Step(const std::shared_ptr<Stream>& stream) {
  if (stream->cancelled) {
    End(stream);
    return;
  }
  const int64_t cut_after = ControlValue("cut_after", int64_t{-1});
  if (cut_after >= 0 && stream->next_word >= static_cast<uint64_t>(cut_after)) {
    control_values()["cut_after"] = -1;
    CutConnection(stream->message);
    soup_server_message_unpause(stream->message);
    End(stream);
    return;
  }
  if (stream->next_word >= stream->word_count) {
    SendLastEvent(*stream);
    End(stream);
    return;
  }
  SendChunk(*stream);
  ++stream->next_word;
  const int64_t interval = ControlValue("token_ms", int64_t{3});
  After(interval, [this, stream] { Step(stream); });
}

void StandInEngine::SendChunk(Stream& stream) {
  const std::string word = absl::StrCat(
      Hex(StableHash(stream.prompt, stream.next_word)).substr(0, 4), " ");
  json choice = {{"index", 0}};
  if (stream.chat) {
    choice["delta"] = {{"content", word}};
  } else {
    choice["text"] = word;
  }
  const json chunk = {{"choices", json::array({choice})}};
  const std::string attempt =
      stream.next_word == stream.wrong_attempt_at ? "another" : stream.attempt;
  const std::string event = absl::StrCat("id: ", attempt, ":", stream.next_word,
                                         "\ndata: ", chunk.dump(), "\n\n");
  soup_message_body_append(
      soup_server_message_get_response_body(stream.message), SOUP_MEMORY_COPY,
      event.data(), event.size());
  soup_server_message_unpause(stream.message);
}

void StandInEngine::SendLastEvent(Stream& stream) {
  const json usage = {{"choices", json::array()},
                      {"usage",
                       {{"prompt_tokens", PromptTokens(stream.prompt)},
                        {"completion_tokens", stream.word_count}}}};
  const std::string event =
      absl::StrCat("id: ", stream.attempt, ":", stream.next_word,
                   "\ndata: ", usage.dump(), "\n\ndata: [DONE]\n\n");
  SoupMessageBody* body = soup_server_message_get_response_body(stream.message);
  soup_message_body_append(body, SOUP_MEMORY_COPY, event.data(), event.size());
  soup_message_body_complete(body);
  soup_server_message_unpause(stream.message);
}

void StandInEngine::End(const std::shared_ptr<Stream>& stream) {
  if (running_.erase(stream) > 0) {
    g_signal_handler_disconnect(stream->message, stream->finished_handler);
    g_object_unref(stream->message);
    StartNext();
  }
}

void StandInEngine::Crash() {
  ++crashes_;
  ++boot_id_;
  for (const auto& stream : std::set(running_)) {
    CutConnection(stream->message);
    stream->cancelled = true;
  }
  waiting_.clear();
  cache_.clear();
  const int listen_port = port();
  // Deferred, because Close() frees the server that is handling this request.
  After(0, [this, listen_port] {
    Close();
    After(ControlValue("restart_ms", int64_t{500}),
          [this, listen_port] { Listen(listen_port); });
  });
}

}  // namespace tamaracktrail
