#ifndef COORDINATION_ENTRY_NOTICE_H_
#define COORDINATION_ENTRY_NOTICE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "coordination/endpoint_observation.h"
#include "protocol/reserve_reply.h"
#include "protocol/result_code.h"
#include "state/order.h"

namespace tamaracktrail {

struct Catalog;

//! A charge of this entry became safe, or will not.
struct SettledNotice {
  uint64_t attempt = 0;
  bool safe = false;
};

//! Whether an attempt's content may run.
struct ContentVerdict {
  uint64_t attempt = 0;
  ResultCode code = ResultCode::kOk;
};

//! A newer configuration is in force.
struct CatalogNotice {
  std::shared_ptr<const Catalog> catalog;
};

//! Peers have probed endpoints.
struct NewsNotice {
  std::vector<EndpointObservation> observations;
};

//! Endpoints that this instance is to probe for its peers, and how many
//! instances send to this data centre's endpoints.
struct ProbeDuty {
  std::vector<std::string> endpoints;
  int instances = 1;
};

//! An accepted order to be sent to its endpoint.
struct OrderNotice {
  Order order;
};

//! Message from the coordinator to the entry of the same process.
using EntryNotice = std::variant<ReserveReply,
                                 SettledNotice,
                                 ContentVerdict,
                                 CatalogNotice,
                                 NewsNotice,
                                 ProbeDuty,
                                 OrderNotice>;

}  // namespace tamaracktrail

#endif  // COORDINATION_ENTRY_NOTICE_H_
