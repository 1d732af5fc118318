#include "coordination/prompt_part_guard.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tamaracktrail {

namespace {

//! Crashes within this time count as one. A cut link breaks the connections to
//! many endpoints at once and implicates a part that all requests share on each
//! of them.
constexpr Millis kTogether{600};

//! Crashes without an answer in between after which a part is blocked.
constexpr int kMaxCrashes = 3;

//! First length of a block, from the last crash on; it doubles with each
//! further crash.
constexpr Millis kMinBlock{30000};
constexpr Millis kMaxBlock{10 * 60 * 1000};

//! Crashes are remembered for longer than they block a part, so that one more
//! crash blocks it again.
constexpr Millis kRetention = kMaxBlock * 2;
constexpr size_t kMaxRecords = 512;

//! Changes are reported to the peers for this time, as reports may be lost.
constexpr Millis kReportTime{2000};
//! Crashes that block a part are repeated at this interval, for instances that
//! have started or were cut off.
constexpr Millis kRepeatInterval{1000};

//! Parts of a prompt that are considered: one bit each.
constexpr size_t kMaxParts = 32;

uint32_t Bit(size_t index) {
  return uint32_t{1} << index;
}

//! Returns the number of crashes that did not happen together.
template <class Records>
int CountSeparate(const Records& records) {
  int n = 0;
  Millis last;
  for (const auto* it : records) {
    if (n == 0 || it->at - last >= kTogether) {
      ++n;
      last = it->at;
    }
  }
  return n;
}

Millis BlockLength(int crashes) {
  Millis length = kMinBlock;
  for (int i = kMaxCrashes; i < crashes && length < kMaxBlock; ++i) {
    length = length * 2;
  }
  return std::min(length, kMaxBlock);
}

//! Returns the implicated parts that come after `part` in the prompt, sorted.
std::vector<uint64_t> ImplicatedAfter(uint64_t part,
                                      const PromptPartGuard::Crash& crash) {
  std::vector<uint64_t> after;
  const auto begin = std::find(crash.parts.begin(), crash.parts.end(), part) -
                     crash.parts.begin();
  for (size_t i = static_cast<size_t>(begin) + 1; i < crash.parts.size(); ++i) {
    if ((crash.implicated & Bit(i)) != 0) {
      after.push_back(crash.parts[i]);
    }
  }
  std::sort(after.begin(), after.end());
  return after;
}

}  // namespace

PromptPartGuard::Record* PromptPartGuard::Find(
    uint64_t endpoint,
    const std::vector<uint64_t>& parts) {
  const auto it =
      std::find_if(records_.begin(), records_.end(), [&](const Record& known) {
        return known.crash.endpoint == endpoint && known.crash.parts == parts;
      });
  return it == records_.end() ? nullptr : &*it;
}

void PromptPartGuard::OnCrash(Millis now,
                              Millis at,
                              uint64_t endpoint,
                              const std::vector<uint64_t>& parts) {
  const size_t n = std::min(parts.size(), kMaxParts);
  if (n == 0) {
    return;
  }
  const std::vector<uint64_t> considered(
      parts.begin(), parts.begin() + static_cast<int64_t>(n));
  if (Find(endpoint, considered) != nullptr) {
    return;
  }
  if (records_.size() >= kMaxRecords) {
    records_.erase(records_.begin());
  }
  const auto place = std::upper_bound(
      records_.begin(), records_.end(), at,
      [](Millis time, const Record& it) { return time < it.at; });
  const auto all = static_cast<uint32_t>((uint64_t{1} << n) - 1);
  records_.insert(place, {{endpoint, considered, all, 0}, at, now});
  learned_.push_back({endpoint, considered, all, (now - at).count()});
}

std::vector<PromptPartGuard::Crash> PromptPartGuard::TakeLearned() {
  return std::exchange(learned_, {});
}

void PromptPartGuard::OnAnswered(Millis now, uint64_t part) {
  for (Record& it : records_) {
    for (size_t i = 0; i < it.crash.parts.size(); ++i) {
      if (it.crash.parts[i] == part && (it.crash.implicated & Bit(i)) != 0) {
        it.crash.implicated &= ~Bit(i);
        it.changed_at = now;
      }
    }
  }
}

void PromptPartGuard::OnReport(Millis now, const std::vector<Crash>& crashes) {
  for (const Crash& it : crashes) {
    OnCrash(now, now - Millis(it.age_ms), it.endpoint, it.parts);
    Record* known = Find(it.endpoint, it.parts);
    if (known != nullptr && known->crash.implicated != it.implicated) {
      // One of both has heard of an answer that the other has not.
      known->crash.implicated &= it.implicated;
      known->changed_at = now;
    }
  }
}

std::vector<PromptPartGuard::Crash> PromptPartGuard::MakeReport(Millis now,
                                                                size_t n) {
  std::set<uint64_t> blocked;
  if (now - repeated_at_ >= kRepeatInterval) {
    repeated_at_ = now;
    blocked = BlockedParts(now);
  }
  std::vector<Crash> report;
  for (auto it = records_.rbegin(); it != records_.rend() && report.size() < n;
       ++it) {
    const auto blocks = [&](uint64_t part) { return blocked.contains(part); };
    if (now - it->changed_at <= kReportTime ||
        std::any_of(it->crash.parts.begin(), it->crash.parts.end(), blocks)) {
      report.push_back(it->crash);
      report.back().age_ms = (now - it->at).count();
    }
  }
  return report;
}

std::set<uint64_t> PromptPartGuard::BlockedParts(Millis now) const {
  std::set<uint64_t> parts;
  for (const Record& it : records_) {
    parts.insert(it.crash.parts.begin(), it.crash.parts.end());
  }
  std::erase_if(parts, [&](uint64_t part) { return !IsBlocked(now, part); });
  return parts;
}

std::vector<const PromptPartGuard::Record*> PromptPartGuard::RecordsOf(
    uint64_t part) const {
  std::vector<const Record*> found;
  for (const Record& it : records_) {
    for (size_t i = 0; i < it.crash.parts.size(); ++i) {
      if (it.crash.parts[i] == part && (it.crash.implicated & Bit(i)) != 0) {
        found.push_back(&it);
        break;
      }
    }
  }
  return found;
}

int PromptPartGuard::CountCrashes(uint64_t part) const {
  return CountSeparate(RecordsOf(part));
}

bool PromptPartGuard::IsBlocked(Millis now, uint64_t part) const {
  const std::vector<const Record*> records = RecordsOf(part);
  const int n = CountSeparate(records);
  if (n < kMaxCrashes || now - records.back()->at >= BlockLength(n)) {
    return false;
  }
  // If a later part was in all of these requests, that part is blocked alone:
  // sound requests have the part before it as well.
  std::vector<uint64_t> common = ImplicatedAfter(part, records[0]->crash);
  for (const Record* it : records) {
    const std::vector<uint64_t> after = ImplicatedAfter(part, it->crash);
    std::vector<uint64_t> both;
    std::set_intersection(common.begin(), common.end(), after.begin(),
                          after.end(), std::back_inserter(both));
    common = both;
  }
  return common.empty();
}

void PromptPartGuard::OnTick(Millis now) {
  std::erase_if(records_,
                [&](const Record& it) { return now - it.at > kRetention; });
}

}  // namespace tamaracktrail
