#include "coordination/evacuated_data_centres.h"

#include <algorithm>
#include <utility>

namespace tamaracktrail {

void EvacuatedDataCentres::OnRecord(TopicPosition as_of,
                                    const std::string& data_centre,
                                    bool evacuated) {
  if (is_known_ && as_of <= known_.as_of) {
    return;
  }
  doubted_until_.erase(data_centre);
  if (evacuated) {
    known_.data_centres.insert(data_centre);
  } else {
    known_.data_centres.erase(data_centre);
  }
  SetPosition(as_of);
}

void EvacuatedDataCentres::OnSet(Millis now, const EvacuationSet& set) {
  if (is_known_ && set.as_of < known_.as_of) {
    return;
  }
  const bool is_restored =
      is_known_ && set.as_of.generation > known_.as_of.generation;
  for (const std::string& it : known_.data_centres) {
    if (is_restored) {
      doubted_until_[it] = now + kRestoreDoubt;
    }
  }
  known_.data_centres = set.data_centres;
  for (const std::string& it : known_.data_centres) {
    doubted_until_.erase(it);
  }
  SetPosition(set.as_of);
}

void EvacuatedDataCentres::SetPosition(TopicPosition as_of) {
  known_.as_of = as_of;
  is_known_ = true;
  is_behind_ = is_behind_ && as_of < newest_reported_;
}

void EvacuatedDataCentres::OnReported(Millis now,
                                      TopicPosition as_of,
                                      uint64_t digest) {
  if (digest == known_.digest()) {
    is_behind_ = is_behind_ && as_of < newest_reported_;
    return;
  }
  if (as_of <= known_.as_of) {
    return;
  }
  newest_reported_ = std::max(newest_reported_, as_of);
  if (!std::exchange(is_behind_, true)) {
    behind_since_ = now;
  }
}

void EvacuatedDataCentres::OnTick(Millis now) {
  std::erase_if(doubted_until_,
                [&](const auto& it) { return now >= it.second; });
}

std::set<std::string> EvacuatedDataCentres::All() const {
  std::set<std::string> all = known_.data_centres;
  for (const auto& [data_centre, until] : doubted_until_) {
    all.insert(data_centre);
  }
  return all;
}

}  // namespace tamaracktrail
