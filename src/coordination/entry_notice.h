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

//! Result for a charge of this entry. It is safe once another instance or the
//! log holds it as well; if that fails, it is voided and its answer withheld.
struct SettledNotice {
  uint64_t attempt = 0;
  bool safe = false;
};

//! Decision on whether an attempt may be sent to an endpoint; kOk if it may.
struct ContentVerdict {
  uint64_t attempt = 0;
  ResultCode code = ResultCode::kOk;
};

//! Catalog of a newer configuration that is now in force.
struct CatalogNotice {
  std::shared_ptr<const Catalog> catalog;
};

//! Results of probes that a peer has made.
struct ProbeReportNotice {
  std::vector<EndpointObservation> observations;
};

//! Endpoints that this instance has to probe on behalf of its peers, and the
//! number of instances that send requests to this data centre's endpoints.
struct ProbeAssignment {
  std::vector<std::string> endpoints;
  int instances = 1;
};

//! An accepted order that has to be sent to its endpoint.
struct OrderNotice {
  Order order;
};

//! Message from the coordinator to the entry of the same process.
using EntryNotice = std::variant<ReserveReply,
                                 SettledNotice,
                                 ContentVerdict,
                                 CatalogNotice,
                                 ProbeReportNotice,
                                 ProbeAssignment,
                                 OrderNotice>;

}  // namespace tamaracktrail

#endif  // COORDINATION_ENTRY_NOTICE_H_
