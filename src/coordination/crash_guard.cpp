#include "coordination/crash_guard.h"

#include <algorithm>

namespace tamaracktrail {

namespace {

//! A crash breaks an endpoint's connections and refuses new ones within about
//! this time of each other.
constexpr Millis kSameCrash{600};

//! Endpoints that one content may crash: the platform's contract allows three.
//! One less leaves room for crashes that other instances see at the same time.
constexpr size_t kAllowedCrashes = 2;

//! Content comes again within minutes or not at all.
constexpr Millis kRemembered{10 * 60 * 1000};

//! Contents that are remembered at most.
constexpr size_t kMaxContents = 10000;

}  // namespace

void CrashGuard::OnBroken(Millis now, uint64_t content, uint64_t endpoint) {
  std::vector<Broken>& broken = broken_[endpoint];
  const bool others =
      std::any_of(broken.begin(), broken.end(), [&](const Broken& it) {
        return now - it.at <= kSameCrash && it.content != content;
      });
  broken.push_back({now, content});
  const auto down = down_.find(endpoint);
  if (others || (down != down_.end() && now - down->second <= kSameCrash)) {
    OnEndpointDown(now, endpoint);
  }
}

void CrashGuard::OnEndpointDown(Millis now, uint64_t endpoint) {
  down_[endpoint] = now;
  const auto it = broken_.find(endpoint);
  if (it == broken_.end()) {
    return;
  }
  for (const Broken& broken : it->second) {
    if (now - broken.at <= kSameCrash) {
      Count(now, {broken.content, endpoint});
    }
  }
  broken_.erase(it);
}

void CrashGuard::OnReported(Millis now, const Crash& crash) {
  Count(now, crash);
}

void CrashGuard::Count(Millis now, const Crash& crash) {
  if (contents_.size() >= kMaxContents && !contents_.contains(crash.first)) {
    contents_.erase(contents_.begin());
  }
  Content& content = contents_[crash.first];
  if (content.endpoints.insert(crash.second).second) {
    content.last = now;
  }
}

bool CrashGuard::IsBlocked(uint64_t content) const {
  const auto it = contents_.find(content);
  return it != contents_.end() &&
         it->second.endpoints.size() >= kAllowedCrashes;
}

bool CrashGuard::IsSuspect(uint64_t content) const {
  return contents_.contains(content);
}

std::vector<CrashGuard::Crash> CrashGuard::Known(size_t n) const {
  std::vector<std::pair<Millis, uint64_t>> newest;
  for (const auto& [content, it] : contents_) {
    newest.emplace_back(it.last, content);
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
    return now - it.second.last > kRemembered;
  });
  std::erase_if(down_,
                [&](const auto& it) { return now - it.second > kSameCrash; });
  std::erase_if(broken_, [&](const auto& it) {
    return now - it.second.back().at > kSameCrash;
  });
}

}  // namespace tamaracktrail
