#include "coordination/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <glog/logging.h>

namespace tamaracktrail {

namespace {

constexpr Millis kHistory{5000};
constexpr int kMaxEjectShift = 4;

}  // namespace

EndpointTable::EndpointTable(std::string data_centre, Options options)
    : data_centre_(std::move(data_centre)), options_(options) {}

void EndpointTable::SetSpecs(const std::vector<EndpointSpec>& specs) {
  std::map<std::string, Entry> entries;
  for (const EndpointSpec& spec : specs) {
    auto it = entries_.find(spec.name);
    const bool same =
        it != entries_.end() && it->second.spec.address == spec.address;
    Entry entry = same ? std::move(it->second) : Entry();
    entry.spec = spec;
    entries[spec.name] = std::move(entry);
  }
  entries_ = std::move(entries);
}

void EndpointTable::Observe(const EndpointObservation& observation) {
  auto it = entries_.find(observation.endpoint);
  if (it == entries_.end()) {
    return;
  }
  Entry& entry = it->second;
  if (entry.last.has_value() && entry.last->as_of > observation.as_of) {
    return;
  }
  const bool up = observation.health == EndpointHealth::kUp;
  const bool was_up =
      entry.last.has_value() && entry.last->health == EndpointHealth::kUp;
  const std::string boot_id = entry.last ? entry.last->boot_id : "";
  const std::vector<std::string> loaded =
      entry.last ? entry.last->loaded : std::vector<std::string>();
  // The first sight of an endpoint is no return: it may have run for long.
  if (up && !was_up && entry.last.has_value()) {
    entry.up_since = observation.as_of;
  }
  entry.last = observation;
  if (observation.boot_id.empty()) {
    entry.last->boot_id = boot_id;
    entry.last->loaded = loaded;
  }
}

void EndpointTable::OnDispatch(Millis now, const std::string& endpoint) {
  auto it = entries_.find(endpoint);
  if (it != entries_.end()) {
    it->second.open.insert(now);
  }
}

void EndpointTable::OnFinish(Millis now,
                             const std::string& endpoint,
                             Millis since,
                             Finish finish) {
  auto it = entries_.find(endpoint);
  if (it == entries_.end()) {
    return;
  }
  Entry& entry = it->second;
  if (auto open = entry.open.find(since); open != entry.open.end()) {
    entry.open.erase(open);
  }
  entry.ended.push_back({since, now});
  while (entry.ended.front().until + kHistory < now) {
    entry.ended.pop_front();
  }
  if (finish == Finish::kOk) {
    entry.failures = 0;
    entry.ejections = 0;
    return;
  }
  if (finish == Finish::kRefused || ++entry.failures < options_.eject_after ||
      !MayEject(now, entry.spec.service)) {
    return;
  }
  const int shift = std::min(entry.ejections, kMaxEjectShift);
  entry.ejected_until = now + options_.eject_time * (int64_t{1} << shift);
  ++entry.ejections;
  entry.failures = 0;
}

bool EndpointTable::MayEject(Millis now, const std::string& service) const {
  int all = 0;
  int ejected = 0;
  for (const auto& [name, entry] : entries_) {
    if (entry.spec.service == service) {
      ++all;
      ejected += entry.ejected_until > now ? 1 : 0;
    }
  }
  return ejected + 1 <= options_.max_ejected * all;
}

std::vector<EndpointCandidate> EndpointTable::Candidates(
    Millis now,
    const std::string& service,
    bool with_full) const {
  std::vector<EndpointCandidate> local;
  std::vector<EndpointCandidate> remote;
  for (const auto& [name, entry] : entries_) {
    if (entry.spec.service != service || !Dispatchable(now, entry)) {
      continue;
    }
    const double load = Load(now, entry);
    if (load >= options_.full_load && !with_full) {
      continue;
    }
    const bool is_local = entry.spec.data_centre == data_centre_;
    (is_local ? local : remote).push_back({name, load, is_local});
  }
  return local.empty() ? remote : local;
}

int EndpointTable::Room(Millis now, const std::string& service) const {
  double room = 0;
  for (const EndpointCandidate& it : Candidates(now, service)) {
    const Entry& entry = entries_.at(it.name);
    const double free =
        std::max(0.0, 1 - it.load) * entry.spec.capacity * RampOf(now, entry);
    // Each dispatch of this instance stands for one of each sharer.
    room += std::ceil(free / sharers_);
  }
  return static_cast<int>(room);
}

bool EndpointTable::Usable(Millis now, const std::string& endpoint) const {
  auto it = entries_.find(endpoint);
  return it != entries_.end() && Dispatchable(now, it->second);
}

bool EndpointTable::Fresh(Millis now, const Entry& entry) const {
  return entry.last.has_value() && entry.last->as_of >= not_before_ &&
         entry.last->as_of + options_.stale_after > now;
}

bool EndpointTable::Dispatchable(Millis now, const Entry& entry) const {
  return Fresh(now, entry) && entry.last->health == EndpointHealth::kUp &&
         entry.ejected_until <= now;
}

double EndpointTable::Load(Millis now, const Entry& entry) const {
  // What the endpoint reported lags. Requests sent since then are added, as if
  // each other sender had as many open; of those that it counted, the ones
  // known to have ended are taken off.
  const Millis since = entry.last->as_of - options_.load_lag;
  const auto sent =
      std::distance(entry.open.lower_bound(since), entry.open.end());
  const auto ended = std::count_if(
      entry.ended.begin(), entry.ended.end(),
      [&](const Span& it) { return it.since < since && it.until >= since; });
  const int64_t estimate =
      std::max<int64_t>(entry.last->load + sent * sharers_ - ended,
                        static_cast<int64_t>(entry.open.size()));
  return static_cast<double>(estimate) /
         (entry.spec.capacity * RampOf(now, entry));
}

double EndpointTable::RampOf(Millis now, const Entry& entry) const {
  if (!entry.up_since.has_value()) {
    return 1;
  }
  const Millis age = now - *entry.up_since;
  const double ramp = static_cast<double>(age.count()) /
                      static_cast<double>(options_.slow_start.count());
  return std::clamp(ramp, options_.slow_start_floor, 1.0);
}

std::vector<EndpointSpec> EndpointTable::ToProbe(
    Millis now,
    const std::vector<std::string>& own) const {
  std::set<std::string> served;  // By an endpoint of this data centre.
  for (const auto& [name, entry] : entries_) {
    if (entry.spec.data_centre == data_centre_ && Dispatchable(now, entry)) {
      served.insert(entry.spec.service);
    }
  }
  std::vector<EndpointSpec> out;
  for (const auto& [name, entry] : entries_) {
    const bool mine = std::find(own.begin(), own.end(), name) != own.end();
    const bool local = entry.spec.data_centre == data_centre_;
    const bool aging = !entry.last.has_value() ||
                       entry.last->as_of < not_before_ ||
                       entry.last->as_of + options_.probe_before <= now;
    const bool of_use = local || !served.contains(entry.spec.service);
    if (mine || (aging && of_use)) {
      out.push_back(entry.spec);
    }
  }
  return out;
}

std::vector<EndpointNews> EndpointTable::News(
    Millis now,
    const std::vector<std::string>& own) const {
  std::vector<EndpointNews> news;
  for (const std::string& name : own) {
    auto it = entries_.find(name);
    if (it == entries_.end() || !Fresh(now, it->second)) {
      continue;
    }
    const EndpointObservation& last = *it->second.last;
    news.push_back(
        {name, now - last.as_of, static_cast<int32_t>(last.health), last.load});
  }
  return news;
}

const EndpointSpec* EndpointTable::Find(const std::string& endpoint) const {
  auto it = entries_.find(endpoint);
  return it == entries_.end() ? nullptr : &it->second.spec;
}

std::vector<EndpointSpec> EndpointTable::Specs() const {
  std::vector<EndpointSpec> specs;
  for (const auto& [name, entry] : entries_) {
    specs.push_back(entry.spec);
  }
  return specs;
}

std::optional<EndpointObservation> EndpointTable::Last(
    const std::string& endpoint) const {
  auto it = entries_.find(endpoint);
  return it == entries_.end() ? std::nullopt : it->second.last;
}

int EndpointTable::InFlight(const std::string& endpoint) const {
  auto it = entries_.find(endpoint);
  return it == entries_.end() ? 0 : static_cast<int>(it->second.open.size());
}

}  // namespace tamaracktrail
