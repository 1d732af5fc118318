#include "coordination/placer.h"

#include <algorithm>

namespace tamaracktrail {

namespace {

constexpr char kRolePrefix[] = "role:";

bool HasLoaded(const Placer::EndpointState& endpoint,
               const std::string& target) {
  return std::find(endpoint.loaded.begin(), endpoint.loaded.end(), target) !=
         endpoint.loaded.end();
}

}  // namespace

void Placer::SetTerm(Millis now, std::optional<uint64_t> fencing_number) {
  if (fencing_number == fencing_number_) {
    return;
  }
  fencing_number_ = fencing_number;
  term_since_ = now;
  pending_.clear();
}

std::vector<Order> Placer::Decide(Millis now,
                                  const std::vector<PlacementSpec>& placements,
                                  const std::vector<EndpointState>& endpoints,
                                  const std::map<std::string, int>& demand) {
  std::vector<Order> orders;
  if (!fencing_number_.has_value()) {
    return orders;
  }
  for (const PlacementSpec& placement : placements) {
    if (placement.data_centre != data_centre_) {
      continue;
    }
    const auto copies = std::count_if(
        endpoints.begin(), endpoints.end(), [&](const EndpointState& it) {
          return it.up && it.service == placement.service &&
                 HasLoaded(it, placement.target);
        });
    const auto demand_it = demand.find(placement.name);
    const int requested = demand_it == demand.end() ? 0 : demand_it->second;
    const int target_copies =
        std::clamp(requested, placement.min_copies, placement.max_copies);
    std::optional<Order> order;
    if (copies < target_copies) {
      order = ChooseLoad(now, placement, endpoints);
    } else if (copies > target_copies &&
               !placement.target.starts_with(kRolePrefix)) {
      order = ChooseUnload(now, placement, endpoints, static_cast<int>(copies));
    }
    if (order.has_value()) {
      pending_[order->endpoint] = {*order, now};
      orders.push_back(*std::move(order));
    }
  }
  return orders;
}

bool Placer::MaySend(const Order& order) const {
  auto it = pending_.find(order.endpoint);
  return fencing_number_ == order.fencing_number && it != pending_.end() &&
         it->second.order == order;
}

bool Placer::IsBusy(Millis now, const EndpointState& endpoint) const {
  const bool in_handover =
      !endpoint.checks_fencing && now < term_since_ + options_.handover_wait;
  auto it = pending_.find(endpoint.name);
  if (in_handover) {
    return true;
  }
  if (it == pending_.end() ||
      now >= it->second.created_at + options_.order_timeout) {
    return false;
  }
  const Order& order = it->second.order;
  const bool done =
      HasLoaded(endpoint, order.target) == (order.action != "unload");
  return !done;
}

std::optional<Order> Placer::ChooseLoad(
    Millis now,
    const PlacementSpec& placement,
    const std::vector<EndpointState>& endpoints) const {
  const EndpointState* best = nullptr;
  for (const EndpointState& it : endpoints) {
    const bool fits = it.up && it.service == placement.service &&
                      !HasLoaded(it, placement.target);
    if (!fits) {
      continue;
    }
    if (IsBusy(now, it)) {
      // The placement waits, so that it has at most one pending load order.
      return std::nullopt;
    }
    if (best == nullptr || it.loaded.size() < best->loaded.size()) {
      best = &it;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const bool role = placement.target.starts_with(kRolePrefix);
  return Order{data_centre_, *fencing_number_, best->name,
               role ? "role" : "load", placement.target};
}

std::optional<Order> Placer::ChooseUnload(
    Millis now,
    const PlacementSpec& placement,
    const std::vector<EndpointState>& endpoints,
    int copies) const {
  const EndpointState* best = nullptr;
  for (const EndpointState& it : endpoints) {
    if (!it.up || it.service != placement.service ||
        !HasLoaded(it, placement.target)) {
      continue;
    }
    // Endpoints that ignore fencing numbers may still execute an order of an
    // earlier term, so one spare copy is kept there.
    const int spare = it.checks_fencing ? 0 : 1;
    if (copies - 1 < std::max(placement.min_copies, 1) + spare ||
        it.in_flight > 0) {
      continue;
    }
    if (IsBusy(now, it)) {
      return std::nullopt;
    }
    best = &it;
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return Order{data_centre_, *fencing_number_, best->name, "unload",
               placement.target};
}

}  // namespace tamaracktrail
