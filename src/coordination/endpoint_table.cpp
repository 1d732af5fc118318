#include "coordination/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <glog/logging.h>

#include "state/digest.h"

namespace tamaracktrail {

namespace {

//! How long finished requests are kept, to correct the reported load.
constexpr Millis kFinishedRetention{5000};
//! Limit of the doublings of the ejection time.
constexpr int kMaxEjectDoublings = 4;

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
    if (!same) {
      // Another endpoint has the name now.
      waits_.Forget(StableHash(spec.name));
    }
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
  if (entry.last_observation.has_value() &&
      entry.last_observation->as_of > observation.as_of) {
    return;
  }
  const bool up = observation.health == EndpointHealth::kUp;
  const bool was_up = entry.last_observation.has_value() &&
                      entry.last_observation->health == EndpointHealth::kUp;
  const std::string boot_id =
      entry.last_observation ? entry.last_observation->boot_id : "";
  const std::vector<std::string> loaded = entry.last_observation
                                              ? entry.last_observation->loaded
                                              : std::vector<std::string>();
  // The first observation starts no slow start: the endpoint may have been up
  // before this instance observed it.
  if (up && !was_up && entry.last_observation.has_value()) {
    entry.up_since = observation.as_of;
  }
  entry.last_observation = observation;
  if (observation.boot_id.empty()) {
    entry.last_observation->boot_id = boot_id;
    entry.last_observation->loaded = loaded;
  }
}

bool EndpointTable::OnAskedToWait(Millis now,
                                  const std::string& endpoint,
                                  Millis wait,
                                  double spread) {
  return entries_.contains(endpoint) &&
         waits_.OnAsked(now, StableHash(endpoint), wait, spread);
}

void EndpointTable::OnDispatch(Millis now, const std::string& endpoint) {
  waits_.OnSent(now, StableHash(endpoint));
  auto it = entries_.find(endpoint);
  if (it != entries_.end()) {
    it->second.open_since.insert(now);
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
  if (auto dispatched = entry.open_since.find(since);
      dispatched != entry.open_since.end()) {
    entry.open_since.erase(dispatched);
  }
  entry.finished.push_back({since, now});
  while (entry.finished.front().until + kFinishedRetention < now) {
    entry.finished.pop_front();
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
  const int doublings = std::min(entry.ejections, kMaxEjectDoublings);
  entry.ejected_until = now + options_.eject_time * (int64_t{1} << doublings);
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
    bool include_full) const {
  std::vector<EndpointCandidate> local;
  std::vector<EndpointCandidate> remote;
  for (const auto& [name, entry] : entries_) {
    if (entry.spec.service != service || !Usable(now, entry) ||
        !waits_.MaySend(now, StableHash(name))) {
      continue;
    }
    const double load = Load(now, entry);
    if (load >= options_.full_load && !include_full) {
      continue;
    }
    const bool is_local = entry.spec.data_centre == data_centre_;
    (is_local ? local : remote).push_back({name, load, is_local});
  }
  return local.empty() ? remote : local;
}

int EndpointTable::FreeSlots(Millis now, const std::string& service) const {
  double room = 0;
  for (const EndpointCandidate& it : Candidates(now, service)) {
    const Entry& entry = entries_.at(it.name);
    const double free = std::max(0.0, 1 - it.load) * entry.spec.capacity *
                        SlowStartFactor(now, entry);
    // Assumes that each instance sends as many requests as this one.
    room += std::ceil(free / instance_count_);
  }
  return static_cast<int>(room);
}

bool EndpointTable::Usable(Millis now, const std::string& endpoint) const {
  auto it = entries_.find(endpoint);
  return it != entries_.end() && Usable(now, it->second);
}

bool EndpointTable::Fresh(Millis now, const Entry& entry) const {
  return entry.last_observation.has_value() &&
         entry.last_observation->as_of >= valid_from_ &&
         entry.last_observation->as_of + options_.stale_after > now;
}

bool EndpointTable::Usable(Millis now, const Entry& entry) const {
  return Fresh(now, entry) &&
         entry.last_observation->health == EndpointHealth::kUp &&
         entry.ejected_until <= now;
}

double EndpointTable::Load(Millis now, const Entry& entry) const {
  // The reported load lags and is that of `since`. Adds the requests sent after
  // it, assuming that each instance sent as many as this one, and subtracts
  // this instance's requests that were open then and have finished.
  const Millis since = entry.last_observation->as_of - options_.load_lag;
  const auto sent = std::distance(entry.open_since.lower_bound(since),
                                  entry.open_since.end());
  const auto finished = std::count_if(
      entry.finished.begin(), entry.finished.end(), [&](const RequestSpan& it) {
        return it.since < since && it.until >= since;
      });
  const int64_t estimate = std::max<int64_t>(
      entry.last_observation->load + sent * instance_count_ - finished,
      static_cast<int64_t>(entry.open_since.size()));
  return static_cast<double>(estimate) /
         (entry.spec.capacity * SlowStartFactor(now, entry));
}

double EndpointTable::SlowStartFactor(Millis now, const Entry& entry) const {
  if (!entry.up_since.has_value()) {
    return 1;
  }
  const Millis age = now - *entry.up_since;
  const double factor = static_cast<double>(age.count()) /
                        static_cast<double>(options_.slow_start.count());
  return std::clamp(factor, options_.slow_start_floor, 1.0);
}

std::vector<EndpointSpec> EndpointTable::ToProbe(
    Millis now,
    const std::vector<std::string>& assigned) const {
  std::set<std::string> served;  // By a usable endpoint of this data centre.
  for (const auto& [name, entry] : entries_) {
    if (entry.spec.data_centre == data_centre_ && Usable(now, entry)) {
      served.insert(entry.spec.service);
    }
  }
  std::vector<EndpointSpec> out;
  for (const auto& [name, entry] : entries_) {
    const bool is_assigned =
        std::find(assigned.begin(), assigned.end(), name) != assigned.end();
    const bool local = entry.spec.data_centre == data_centre_;
    const bool expires_soon =
        !entry.last_observation.has_value() ||
        entry.last_observation->as_of < valid_from_ ||
        entry.last_observation->as_of + options_.probe_after <= now;
    const bool is_needed = local || !served.contains(entry.spec.service);
    if (is_assigned || (expires_soon && is_needed)) {
      out.push_back(entry.spec);
    }
  }
  return out;
}

std::vector<ProbeReport> EndpointTable::ProbeReports(
    Millis now,
    const std::vector<std::string>& assigned) const {
  std::vector<ProbeReport> reports;
  for (const std::string& name : assigned) {
    auto it = entries_.find(name);
    if (it == entries_.end() || !Fresh(now, it->second)) {
      continue;
    }
    const EndpointObservation& last = *it->second.last_observation;
    reports.push_back(
        {name, now - last.as_of, static_cast<int32_t>(last.health), last.load});
  }
  return reports;
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

std::optional<EndpointObservation> EndpointTable::LastObservation(
    const std::string& endpoint) const {
  auto it = entries_.find(endpoint);
  return it == entries_.end() ? std::nullopt : it->second.last_observation;
}

int EndpointTable::InFlight(const std::string& endpoint) const {
  auto it = entries_.find(endpoint);
  return it == entries_.end() ? 0
                              : static_cast<int>(it->second.open_since.size());
}

}  // namespace tamaracktrail
