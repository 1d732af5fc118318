#include "coordination/crash_guard.h"

#include <algorithm>
#include <utility>

namespace tamaracktrail {

namespace {

//! A crashed endpoint loses its connections and refuses new ones within this
//! time.
constexpr Millis kCrashWindow{600};

}  // namespace

void CrashGuard::OnConnectionLost(Millis now,
                                  uint64_t endpoint,
                                  OpenRequest request) {
  std::vector<LostConnection>& lost = lost_connections_[endpoint];
  const bool other_content_lost =
      std::any_of(lost.begin(), lost.end(), [&](const LostConnection& it) {
        return now - it.at <= kCrashWindow &&
               it.request.content != request.content;
      });
  lost.push_back({now, std::move(request)});
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
    if (now - lost.at <= kCrashWindow && !lost.request.answered) {
      suspects_.OnCrash(now, lost.at, endpoint, lost.request.parts,
                        lost.request.content);
    }
  }
  lost_connections_.erase(it);
}

void CrashGuard::OnReport(Millis now,
                          const std::vector<SuspectCrash>& crashes) {
  suspects_.OnReport(now, crashes);
  ConfirmLostConnections(now, crashes);
}

void CrashGuard::OnEntryRead(Millis now,
                             const std::vector<SuspectCrash>& crashes,
                             bool is_own) {
  suspects_.OnEntryRead(now, crashes, is_own);
  ConfirmLostConnections(now, crashes);
}

void CrashGuard::ConfirmLostConnections(
    Millis now,
    const std::vector<SuspectCrash>& crashes) {
  for (const SuspectCrash& it : crashes) {
    // Reports repeat older crashes, and the endpoint may be back since.
    if (Millis(it.age_ms) <= kCrashWindow) {
      OnEndpointDown(now, it.endpoint);
    }
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

void CrashGuard::OnTick(Millis now) {
  suspects_.OnTick(now);
  std::erase_if(last_down_,
                [&](const auto& it) { return now - it.second > kCrashWindow; });
  std::erase_if(lost_connections_, [&](const auto& it) {
    return now - it.second.back().at > kCrashWindow;
  });
}

}  // namespace tamaracktrail
