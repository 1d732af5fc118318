#include "transport/internal/status_json.h"

#include <nlohmann/json.hpp>

#include "coordination/coordinator_status.h"
#include "state/digest.h"

namespace tamaracktrail {

std::string StatusJson(const CoordinatorStatus& status) {
  using nlohmann::json;
  json peers = json::array();
  for (const auto& it : status.peers) {
    peers.push_back({{"address", it.address},
                     {"incarnation", Hex(it.incarnation)},
                     {"state", it.state},
                     {"config_version", it.config_version}});
  }
  json shards = json::array();
  for (const auto& it : status.shards) {
    shards.push_back({{"number", it.number},
                      {"keeper", it.keeper},
                      {"caught_up", it.caught_up},
                      {"next_offset", it.next_offset},
                      {"backlog", it.backlog},
                      {"reservations", it.reservations},
                      {"reserved_tokens", it.reserved_tokens},
                      {"share_tokens", it.share_tokens},
                      {"dropped_batches", it.dropped_batches}});
  }
  const json out = {{"address", status.address},
                    {"data_centre", status.data_centre},
                    {"incarnation", Hex(status.incarnation)},
                    {"config_version", status.config_version},
                    {"joined", status.joined},
                    {"draining", status.draining},
                    {"charges_in_custody", status.charges_in_custody},
                    {"open_sweeps", status.open_sweeps},
                    {"stuck_tokens", status.stuck_tokens},
                    {"backlog", status.backlog},
                    {"append_failures", status.append_failures},
                    {"fencing_number", status.fencing_number},
                    {"peers", peers},
                    {"shards", shards}};
  return out.dump(2);
}

}  // namespace tamaracktrail
