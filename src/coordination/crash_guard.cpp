#include "coordination/crash_guard.h"

#include <algorithm>
#include <utility>

namespace tamaracktrail {

namespace {

//! A crashed endpoint loses its connections and refuses new ones within this
//! time.
constexpr Millis kCrashWindow{600};

//! Endpoints that one content may crash. The platform's contract allows three;
//! one less leaves room for crashes that other instances see at the same time.
constexpr size_t kMaxCrashes = 2;

//! Crashes of a content are remembered for this time after its last one.
//! Callers repeat crashing content within minutes or not at all.
constexpr Millis kContentRetention{10 * 60 * 1000};

//! Limit of contents that are remembered.
constexpr size_t kMaxContents = 10000;

}  // namespace

void CrashGuard::OnConnectionLost(Millis now,
                                  uint64_t content,
                                  uint64_t endpoint,
                                  std::vector<uint64_t> unanswered_parts) {
  std::vector<LostConnection>& lost = lost_connections_[endpoint];
  const bool other_content_lost =
      std::any_of(lost.begin(), lost.end(), [&](const LostConnection& it) {
        return now - it.at <= kCrashWindow && it.content != content;
      });
  lost.push_back({now, content, std::move(unanswered_parts)});
  const auto down = last_down_.find(endpoint);
  if (other_content_lost ||
      (down != last_down_.end() && now - down->second <= kCrashWindow)) {
    OnEndpointDown(now, endpoint);
  }
}

void CrashGuard::OnEndpointDown(Millis now, uint64_t endpoint) {
  last_down_[endpoint] = now;
  const auto it = lost_connections_.find(endpoint);
  if (it == lost_connections_.end()) {
    return;
  }
  for (const LostConnection& lost : it->second) {
    if (now - lost.at <= kCrashWindow) {
      AddCrash(now, {lost.content, endpoint});
      parts_.OnCrash(now, lost.at, endpoint, lost.unanswered_parts);
    }
  }
  lost_connections_.erase(it);
}

void CrashGuard::OnReported(Millis now, const Crash& crash) {
  if (AddCrash(now, crash)) {
    OnEndpointDown(now, crash.second);
  }
}

bool CrashGuard::LostSince(Millis since, uint64_t endpoint) const {
  const auto down = last_down_.find(endpoint);
  if (down != last_down_.end() && down->second >= since) {
    return true;
  }
  const auto lost = lost_connections_.find(endpoint);
  return lost != lost_connections_.end() && lost->second.back().at >= since;
}

bool CrashGuard::AddCrash(Millis now, const Crash& crash) {
  if (contents_.size() >= kMaxContents && !contents_.contains(crash.first)) {
    contents_.erase(contents_.begin());
  }
  Content& content = contents_[crash.first];
  if (!content.endpoints.insert(crash.second).second) {
    return false;
  }
  content.last_crash = now;
  return true;
}

bool CrashGuard::IsBlocked(uint64_t content) const {
  const auto it = contents_.find(content);
  return it != contents_.end() && it->second.endpoints.size() >= kMaxCrashes;
}

bool CrashGuard::IsSuspect(uint64_t content) const {
  return contents_.contains(content);
}

std::vector<CrashGuard::Crash> CrashGuard::KnownCrashes(size_t n) const {
  std::vector<std::pair<Millis, uint64_t>> newest;
  for (const auto& [content, it] : contents_) {
    newest.emplace_back(it.last_crash, content);
  }
  std::sort(newest.rbegin(), newest.rend());
  std::vector<Crash> known;
  for (const auto& [last, content] : newest) {
    for (const uint64_t endpoint : contents_.at(content).endpoints) {
      if (known.size() == n) {
        return known;
      }
      known.emplace_back(content, endpoint);
    }
  }
  return known;
}

void CrashGuard::OnTick(Millis now) {
  std::erase_if(contents_, [&](const auto& it) {
    return now - it.second.last_crash > kContentRetention;
  });
  parts_.OnTick(now);
  std::erase_if(last_down_,
                [&](const auto& it) { return now - it.second > kCrashWindow; });
  std::erase_if(lost_connections_, [&](const auto& it) {
    return now - it.second.back().at > kCrashWindow;
  });
}

}  // namespace tamaracktrail
