#include "coordination/connection_slots.h"

#include <algorithm>

#include <glog/logging.h>

namespace tamaracktrail {

namespace {

//! Fraction of the slots that one address leaves to others.
constexpr size_t kOthersDivisor = 16;

}  // namespace

ConnectionSlots::ConnectionSlots(size_t capacity)
    : capacity_(capacity),
      max_per_address_(capacity -
                       std::max<size_t>(1, capacity / kOthersDivisor)) {
  CHECK_GT(capacity, 0U);
}

ConnectionSlots::Admission ConnectionSlots::Admit(Millis now,
                                                  uint32_t address) const {
  const auto it = count_by_address_.find(address);
  const bool at_limit =
      it != count_by_address_.end() && it->second >= max_per_address_;
  if (!at_limit && connections_.size() < capacity_) {
    return {true, std::nullopt};
  }
  const auto only = at_limit ? std::optional<uint32_t>(address) : std::nullopt;
  std::optional<Id> found = FindFirst(idle_, only, now);
  if (!found) {
    found = FindFirst(receiving_, only, now - kStalledTime);
  }
  if (!found) {
    found = FindFirst(sending_, only, now - kUnreadTime);
  }
  return {found.has_value(), found};
}

void ConnectionSlots::Add(Millis now, Id id, uint32_t address) {
  const auto position = idle_.insert(idle_.end(), id);
  const bool is_new =
      connections_.emplace(id, Connection{address, Phase::kIdle, now, position})
          .second;
  CHECK(is_new) << "event=connection_added_twice";
  ++count_by_address_[address];
}

void ConnectionSlots::Update(Millis now, Id id, Phase phase) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return;
  }
  Connection& connection = it->second;
  std::list<Id>& to = ListOf(phase);
  to.splice(to.end(), ListOf(connection.phase), connection.position);
  connection.phase = phase;
  connection.since = now;
}

void ConnectionSlots::Remove(Id id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return;
  }
  const auto count = count_by_address_.find(it->second.address);
  if (--count->second == 0) {
    count_by_address_.erase(count);
  }
  ListOf(it->second.phase).erase(it->second.position);
  connections_.erase(it);
}

std::list<ConnectionSlots::Id>& ConnectionSlots::ListOf(Phase phase) {
  switch (phase) {
    case Phase::kIdle:
      return idle_;
    case Phase::kReceiving:
      return receiving_;
    case Phase::kSending:
      return sending_;
    case Phase::kServing:
      break;
  }
  return serving_;
}

std::optional<ConnectionSlots::Id> ConnectionSlots::FindFirst(
    const std::list<Id>& order,
    std::optional<uint32_t> address,
    Millis since_at_most) const {
  for (const Id it : order) {
    const Connection& connection = connections_.at(it);
    if (connection.since > since_at_most) {
      break;
    }
    if (!address || connection.address == *address) {
      return it;
    }
  }
  return std::nullopt;
}

}  // namespace tamaracktrail
