#include "coordination/crash_suspects.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <utility>

namespace tamaracktrail {

namespace {

//! Crashes within this time count as one. A cut link breaks the connections to
//! many endpoints at once and implicates what many requests share on each of
//! them.
constexpr Millis kTogether{600};

//! Crashes without an answer in between after which a part is blocked.
constexpr int kMaxPartCrashes = 3;
//! The same for a whole content. It is less often implicated by chance, since
//! few requests repeat another one to the letter.
constexpr int kMaxContentCrashes = 2;

//! First length of a block, from the last crash on; it doubles with each
//! further crash.
constexpr Millis kMinBlock{30000};
constexpr Millis kMaxBlock{10 * 60 * 1000};

//! Crashes are remembered for longer than they block a unit, so that one more
//! crash blocks it again.
constexpr Millis kRetention = kMaxBlock * 2;
constexpr size_t kMaxRecords = 512;

//! Changes are reported to the peers for this time, as reports may be lost.
constexpr Millis kReportTime{2000};
//! Crashes that block a unit are repeated at this interval, for instances that
//! have started or were cut off.
constexpr Millis kRepeatInterval{1000};

//! Units of a request that are considered: one bit each.
constexpr size_t kMaxUnits = 32;

uint32_t Bit(size_t index) {
  return uint32_t{1} << index;
}

//! Number of crashes that did not happen together, added in order of time.
struct SeparateCount {
  int n = 0;
  Millis last;

  void Add(Millis at) {
    if (n == 0 || at - last >= kTogether) {
      ++n;
      last = at;
    }
  }
};

template <class Records>
int CountSeparate(const Records& records) {
  SeparateCount count;
  for (const auto* it : records) {
    count.Add(it->at);
  }
  return count.n;
}

//! Calls `handle` for each implicated unit from index `from` on.
template <class Handle>
void ForEachImplicated(const SuspectCrash& crash, size_t from, Handle handle) {
  for (size_t i = from; i < crash.units.size(); ++i) {
    if ((crash.implicated & Bit(i)) != 0) {
      handle(crash.units[i]);
    }
  }
}

//! Returns the implicated units that come after `unit`, sorted.
std::vector<uint64_t> ImplicatedAfter(uint64_t unit,
                                      const SuspectCrash& crash) {
  std::vector<uint64_t> after;
  const auto begin = std::find(crash.units.begin(), crash.units.end(), unit) -
                     crash.units.begin();
  ForEachImplicated(crash, static_cast<size_t>(begin) + 1,
                    [&](uint64_t it) { after.push_back(it); });
  std::sort(after.begin(), after.end());
  return after;
}

}  // namespace

CrashSuspects::Record* CrashSuspects::Find(const SuspectCrash& crash) {
  const auto it =
      std::find_if(records_.begin(), records_.end(), [&](const Record& known) {
        return known.crash.endpoint == crash.endpoint &&
               known.crash.units == crash.units;
      });
  return it == records_.end() ? nullptr : &*it;
}

void CrashSuspects::OnCrash(Millis now,
                            Millis at,
                            uint64_t endpoint,
                            const std::vector<uint64_t>& parts,
                            uint64_t content) {
  SuspectCrash crash;
  crash.endpoint = endpoint;
  const size_t n = std::min(parts.size(), kMaxUnits - 1);
  crash.units.assign(parts.begin(), parts.begin() + static_cast<int64_t>(n));
  crash.units.push_back(content);
  crash.implicated = static_cast<uint32_t>((uint64_t{1} << (n + 1)) - 1);
  Record* known = Find(crash);
  if (known == nullptr) {
    known = Add(now, at, crash);
  }
  known->seen_here = true;
}

CrashSuspects::Record* CrashSuspects::Add(Millis now,
                                          Millis at,
                                          const SuspectCrash& crash) {
  if (records_.size() >= kMaxRecords) {
    DropLeastSuspect();
  }
  const auto place = std::upper_bound(
      records_.begin(), records_.end(), at,
      [](Millis time, const Record& it) { return time < it.at; });
  learned_.push_back(crash);
  learned_.back().age_ms = (now - at).count();
  return &*records_.insert(place, {crash, at, now});
}

void CrashSuspects::DropLeastSuspect() {
  // In one pass: to count the crashes of each unit by itself would read all
  // records for each unit of each record.
  std::unordered_map<uint64_t, SeparateCount> crashes;
  for (const Record& it : records_) {
    ForEachImplicated(it.crash, 0,
                      [&](uint64_t unit) { crashes[unit].Add(it.at); });
  }
  const auto least_suspect =
      std::find_if(records_.begin(), records_.end(), [&](const Record& it) {
        int most = 0;
        ForEachImplicated(it.crash, 0, [&](uint64_t unit) {
          most = std::max(most, crashes[unit].n);
        });
        return most <= 1;
      });
  records_.erase(least_suspect == records_.end() ? records_.begin()
                                                 : least_suspect);
}

std::vector<SuspectCrash> CrashSuspects::TakeLearned() {
  return std::exchange(learned_, {});
}

void CrashSuspects::OnAnswered(Millis now, uint64_t unit) {
  for (Record& it : records_) {
    for (size_t i = 0; i < it.crash.units.size(); ++i) {
      if (it.crash.units[i] == unit && (it.crash.implicated & Bit(i)) != 0) {
        it.crash.implicated &= ~Bit(i);
        it.changed_at = now;
      }
    }
  }
}

CrashSuspects::Record* CrashSuspects::Merge(Millis now,
                                            const SuspectCrash& crash) {
  if (crash.units.empty() || crash.units.size() > kMaxUnits ||
      crash.age_ms < 0 || Millis(crash.age_ms) > kRetention) {
    return nullptr;
  }
  Record* known = Find(crash);
  if (known == nullptr) {
    return Add(now, now - Millis(crash.age_ms), crash);
  }
  if ((known->crash.implicated & crash.implicated) != known->crash.implicated) {
    known->crash.implicated &= crash.implicated;
    known->changed_at = now;
  }
  return known;
}

void CrashSuspects::OnReport(Millis now,
                             const std::vector<SuspectCrash>& crashes) {
  for (const SuspectCrash& it : crashes) {
    Record* known = Merge(now, it);
    if (known != nullptr && known->crash.implicated != it.implicated) {
      // The peer has not heard of an answer that is known here.
      known->changed_at = now;
    }
  }
}

void CrashSuspects::OnEntryRead(Millis now,
                                const std::vector<SuspectCrash>& crashes,
                                bool is_own) {
  for (const SuspectCrash& it : crashes) {
    Record* known = Merge(now, it);
    if (known != nullptr) {
      known->written = known->written.value_or(it.implicated) & it.implicated;
      known->in_own_entry = known->in_own_entry || is_own;
    }
  }
}

bool CrashSuspects::HasUnwritten() const {
  return std::any_of(records_.begin(), records_.end(),
                     [](const Record& it) { return it.IsUnwritten(); });
}

std::vector<SuspectCrash> CrashSuspects::MakeEntry(Millis now, size_t n) const {
  std::vector<SuspectCrash> entry;
  for (const bool implicates : {true, false}) {
    for (auto it = records_.rbegin(); it != records_.rend(); ++it) {
      const bool chosen = (it->in_own_entry || it->IsUnwritten()) &&
                          (it->crash.implicated != 0) == implicates;
      if (chosen && entry.size() < n) {
        entry.push_back(it->crash);
        entry.back().age_ms = (now - it->at).count();
      }
    }
  }
  return entry;
}

void CrashSuspects::OnEntryWritten(const std::vector<SuspectCrash>& entry) {
  for (const SuspectCrash& it : entry) {
    Record* known = Find(it);
    if (known != nullptr) {
      known->written = known->written.value_or(it.implicated) & it.implicated;
      known->in_own_entry = true;
    }
  }
}

void CrashSuspects::OnTopicRestored() {
  for (Record& it : records_) {
    it.written.reset();
  }
}

std::vector<SuspectCrash> CrashSuspects::MakeReport(Millis now, size_t n) {
  std::set<uint64_t> blocked;
  if (now - repeated_at_ >= kRepeatInterval) {
    repeated_at_ = now;
    blocked = BlockedUnits(now);
  }
  std::unordered_map<uint64_t, int> crashes;
  for (const Record& it : records_) {
    ForEachImplicated(it.crash, 0, [&](uint64_t unit) { ++crashes[unit]; });
  }
  //! Records with the crashes of their most suspect unit, newest first.
  std::vector<std::pair<int, const Record*>> chosen;
  for (auto it = records_.rbegin(); it != records_.rend(); ++it) {
    const auto blocks = [&](uint64_t unit) { return blocked.contains(unit); };
    if (now - it->changed_at <= kReportTime ||
        std::any_of(it->crash.units.begin(), it->crash.units.end(), blocks)) {
      int most = 0;
      ForEachImplicated(it->crash, 0, [&](uint64_t unit) {
        most = std::max(most, crashes[unit]);
      });
      chosen.emplace_back(most, &*it);
    }
  }
  std::stable_sort(
      chosen.begin(), chosen.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<SuspectCrash> report;
  for (const auto& [most, record] : chosen) {
    if (report.size() == n) {
      break;
    }
    report.push_back(record->crash);
    report.back().age_ms = (now - record->at).count();
  }
  return report;
}

std::set<uint64_t> CrashSuspects::BlockedUnits(Millis now) const {
  std::set<uint64_t> units;
  for (const Record& it : records_) {
    for (size_t i = 0; i < it.crash.units.size(); ++i) {
      const bool is_content = i + 1 == it.crash.units.size();
      const uint64_t unit = it.crash.units[i];
      if ((it.crash.implicated & Bit(i)) != 0 &&
          (is_content ? IsContentBlocked(now, unit)
                      : IsPartBlocked(now, unit))) {
        units.insert(unit);
      }
    }
  }
  return units;
}

Millis CrashSuspects::BlockLength(int crashes, int max_crashes) const {
  Millis length = kMinBlock;
  for (int i = max_crashes; i < crashes && length < kMaxBlock; ++i) {
    length = length * 2;
  }
  return std::min(length, kMaxBlock).Scaled(1 + block_spread_ / 2);
}

std::vector<const CrashSuspects::Record*> CrashSuspects::RecordsOf(
    uint64_t unit) const {
  std::vector<const Record*> found;
  for (const Record& it : records_) {
    for (size_t i = 0; i < it.crash.units.size(); ++i) {
      if (it.crash.units[i] == unit && (it.crash.implicated & Bit(i)) != 0) {
        found.push_back(&it);
        break;
      }
    }
  }
  return found;
}

int CrashSuspects::CountCrashes(uint64_t unit) const {
  return CountSeparate(RecordsOf(unit));
}

bool CrashSuspects::IsContentBlocked(Millis now, uint64_t content) const {
  const std::vector<const Record*> records = RecordsOf(content);
  const int n = CountSeparate(records);
  return n >= kMaxContentCrashes &&
         now - records.back()->at < BlockLength(n, kMaxContentCrashes);
}

bool CrashSuspects::IsPartBlocked(Millis now, uint64_t part) const {
  const std::vector<const Record*> records = RecordsOf(part);
  const int n = CountSeparate(records);
  if (n < kMaxPartCrashes ||
      now - records.back()->at >= BlockLength(n, kMaxPartCrashes)) {
    return false;
  }
  // If a later unit was in all of these requests, that unit is blocked alone:
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

void CrashSuspects::OnTick(Millis now) {
  std::erase_if(records_,
                [&](const Record& it) { return now - it.at > kRetention; });
}

}  // namespace tamaracktrail
