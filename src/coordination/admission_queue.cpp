#include "coordination/admission_queue.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tamaracktrail {

bool AdmissionQueue::Push(Item item) {
  const auto queued_by_organisation = std::count_if(
      items_.begin(), items_.end(),
      [&](const Item& it) { return it.organisation == item.organisation; });
  if (items_.size() >= options_.max_length ||
      static_cast<size_t>(queued_by_organisation) >=
          options_.max_per_organisation) {
    return false;
  }
  // An organisation that was idle starts at the current virtual time, so that
  // it gets no credit for that period.
  Account& account = accounts_[item.organisation];
  account.virtual_time = std::max(account.virtual_time, virtual_time_);
  items_.push_back(std::move(item));
  return true;
}

std::optional<AdmissionQueue::Item> AdmissionQueue::Pop(
    Millis now,
    const std::string& service) {
  auto best = items_.end();
  for (auto it = items_.begin(); it != items_.end(); ++it) {
    if (it->service == service &&
        (best == items_.end() || IsBefore(now, *it, *best))) {
      best = it;
    }
  }
  if (best == items_.end()) {
    return std::nullopt;
  }
  Item item = std::move(*best);
  items_.erase(best);
  Account& account = accounts_[item.organisation];
  virtual_time_ = std::max(virtual_time_, account.virtual_time);
  account.virtual_time +=
      static_cast<double>(std::max<int64_t>(item.tokens, 1));
  if (items_.empty()) {
    accounts_.clear();
    virtual_time_ = 0;
  }
  return item;
}

std::vector<AdmissionQueue::Item> AdmissionQueue::TakeExpired(Millis now) {
  std::vector<Item> expired;
  std::erase_if(items_, [&](const Item& it) {
    if (now < it.deadline) {
      return false;
    }
    expired.push_back(it);
    return true;
  });
  return expired;
}

bool AdmissionQueue::Remove(uint64_t id) {
  return std::erase_if(items_, [&](const Item& it) { return it.id == id; }) > 0;
}

std::vector<std::string> AdmissionQueue::Services() const {
  std::set<std::string> services;
  for (const Item& it : items_) {
    services.insert(it.service);
  }
  return {services.begin(), services.end()};
}

bool AdmissionQueue::IsBefore(Millis now, const Item& a, const Item& b) const {
  const int priority_a = EffectivePriority(now, a);
  const int priority_b = EffectivePriority(now, b);
  if (priority_a != priority_b) {
    return priority_a < priority_b;
  }
  const double time_a = accounts_.at(a.organisation).virtual_time;
  const double time_b = accounts_.at(b.organisation).virtual_time;
  return time_a != time_b ? time_a < time_b : a.enqueued_at < b.enqueued_at;
}

int AdmissionQueue::EffectivePriority(Millis now, const Item& item) const {
  const int64_t priority_gain =
      (now - item.enqueued_at).count() / options_.aging.count();
  return item.priority - static_cast<int>(priority_gain);
}

}  // namespace tamaracktrail
