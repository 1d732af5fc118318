#include "coordination/leaving_endpoints.h"

#include <algorithm>
#include <utility>

namespace tamaracktrail {

namespace {

//! Announcements are reported to the peers for this time, for those that were
//! disconnected.
constexpr Millis kReportTime{30000};

}  // namespace

std::pair<LeavingEndpoints::Announcement*, bool> LeavingEndpoints::Add(
    Millis now,
    uint64_t endpoint) {
  const auto known = leaving_.find(endpoint);
  if (known != leaving_.end()) {
    return {&known->second, false};
  }
  if (leaving_.size() >= kMaxKept) {
    leaving_.erase(std::min_element(
        leaving_.begin(), leaving_.end(), [](const auto& a, const auto& b) {
          return a.second.known_since < b.second.known_since;
        }));
  }
  Announcement& fresh = leaving_[endpoint];
  fresh.known_since = now;
  return {&fresh, true};
}

bool LeavingEndpoints::OnAnswer(Millis now, uint64_t endpoint) {
  const auto [announcement, is_new] = Add(now, endpoint);
  announcement->told_at = now;
  return is_new;
}

bool LeavingEndpoints::OnReport(Millis now, uint64_t endpoint) {
  return Add(now, endpoint).second;
}

std::vector<uint64_t> LeavingEndpoints::MakeReport(Millis now) const {
  std::vector<std::pair<Millis, uint64_t>> told;
  for (const auto& [endpoint, it] : leaving_) {
    if (it.told_at > Millis(0) && now - it.told_at <= kReportTime) {
      told.emplace_back(it.known_since, endpoint);
    }
  }
  // The newest ones, as the peers have probably read of the others.
  std::sort(told.rbegin(), told.rend());
  if (told.size() > kMaxReported) {
    told.resize(kMaxReported);
  }
  std::vector<uint64_t> report;
  for (const auto& [known_since, endpoint] : told) {
    report.push_back(endpoint);
  }
  return report;
}

}  // namespace tamaracktrail
