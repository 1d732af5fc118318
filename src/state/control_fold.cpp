#include "state/control_fold.h"

#include <algorithm>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <glog/logging.h>

#include "state/digest.h"

namespace tamaracktrail {

FoldVerdict ControlFold::Apply(const Record& record,
                               const FoldContext& context) {
  clock_.Advance(context.wall);
  return std::visit([&](const auto& it) { return On(it, context); }, record);
}

std::optional<uint64_t> ControlFold::VersionOf(const std::string& id) const {
  auto it = published_.find(id);
  return it == published_.end() ? std::nullopt : std::optional(it->second);
}

std::vector<uint64_t> ControlFold::LiveIncarnations(
    const std::string& data_centre) const {
  std::vector<uint64_t> live;
  for (const auto& [incarnation, member] : members_) {
    if (!member.exited && member.data_centre == data_centre) {
      live.push_back(incarnation);
    }
  }
  return live;
}

size_t ControlFold::CrashCount(const std::string& content) const {
  auto it = contents_.find(content);
  return it == contents_.end() ? 0 : it->second.crashed_runs.size();
}

std::optional<uint64_t> ControlFold::TrialOf(const std::string& content) const {
  auto it = contents_.find(content);
  if (it == contents_.end() || it->second.trial == 0) {
    return std::nullopt;
  }
  return it->second.trial;
}

std::optional<ControlFold::TermState> ControlFold::TermOf(
    const std::string& data_centre) const {
  auto it = terms_.find(data_centre);
  return it == terms_.end() ? std::nullopt : std::optional(it->second);
}

void ControlFold::Trim() {
  std::erase_if(contents_, [this](const auto& it) {
    return it.second.last_seen + kCrashWindow < clock_.now();
  });
}

template <class Archive>
void ControlFold::serialize(Archive& archive) {
  archive(clock_, recent_loads_, version_, configuration_, published_, members_,
          contents_, terms_);
}

template void ControlFold::serialize(cereal::PortableBinaryOutputArchive&);
template void ControlFold::serialize(cereal::PortableBinaryInputArchive&);

FoldVerdict ControlFold::On(const Configuration& record,
                            const FoldContext& context) {
  if (published_.contains(record.id)) {
    return FoldVerdict::kRepeat;
  }
  if (record.base != version_) {
    return FoldVerdict::kLostRace;
  }
  CHECK_GT(context.offset, version_)
      << "configuration would revert: offset is not above the version in force";
  version_ = context.offset;
  configuration_ = record;
  published_[record.id] = version_;
  return FoldVerdict::kAccepted;
}

FoldVerdict ControlFold::On(const Join& record, const FoldContext&) {
  const bool joined =
      members_
          .try_emplace(record.incarnation,
                       Member{record.address, record.data_centre, false})
          .second;
  return joined ? FoldVerdict::kAccepted : FoldVerdict::kRepeat;
}

FoldVerdict ControlFold::On(const Exit& record, const FoldContext&) {
  auto it = members_.find(record.incarnation);
  if (it == members_.end() || it->second.exited) {
    return FoldVerdict::kRepeat;
  }
  it->second.exited = true;
  return FoldVerdict::kAccepted;
}

FoldVerdict ControlFold::On(const Crash& record, const FoldContext&) {
  ContentState& state = contents_[record.content];
  state.last_seen = clock_.now();
  // Hashes the endpoint too, since a repeated attempt may crash a second one.
  const uint64_t run = StableHash(record.endpoint, record.attempt);
  return state.crashed_runs.insert(run).second ? FoldVerdict::kAccepted
                                               : FoldVerdict::kRepeat;
}

FoldVerdict ControlFold::On(const Trial& record, const FoldContext&) {
  ContentState& state = contents_[record.content];
  state.last_seen = clock_.now();
  if (state.trial != 0) {
    return state.trial == record.attempt ? FoldVerdict::kRepeat
                                         : FoldVerdict::kLostRace;
  }
  state.trial = record.attempt;
  return FoldVerdict::kAccepted;
}

FoldVerdict ControlFold::On(const TrialEnd& record, const FoldContext&) {
  if (TrialOf(record.content) != record.attempt) {
    return FoldVerdict::kLostRace;
  }
  if (record.succeeded) {
    contents_.erase(record.content);
  } else {
    contents_[record.content].trial = 0;
  }
  return FoldVerdict::kAccepted;
}

FoldVerdict ControlFold::On(const Term& record, const FoldContext& context) {
  terms_[record.data_centre] =
      TermState{record.holder, context.offset, clock_.now()};
  return FoldVerdict::kAccepted;
}

FoldVerdict ControlFold::On(const Order& record, const FoldContext&) {
  const std::optional<TermState> term = TermOf(record.data_centre);
  const bool current =
      term.has_value() && term->fencing_number == record.fencing_number;
  if (!current) {
    return FoldVerdict::kLostRace;
  }
  if (record.action != "load") {
    return FoldVerdict::kAccepted;
  }
  std::erase_if(recent_loads_,
                [this](Millis it) { return it + kMinute <= clock_.now(); });
  if (recent_loads_.size() >= loads_per_minute_) {
    return FoldVerdict::kExceedsShare;
  }
  recent_loads_.push_back(clock_.now());
  return FoldVerdict::kAccepted;
}

template <class Other>
FoldVerdict ControlFold::On(const Other&, const FoldContext&) {
  return FoldVerdict::kNotApplicable;
}

}  // namespace tamaracktrail
