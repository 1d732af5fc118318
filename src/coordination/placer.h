#ifndef COORDINATION_PLACER_H_
#define COORDINATION_PLACER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/placement_spec.h"
#include "state/millis.h"
#include "state/order.h"

namespace tamaracktrail {

//! Decides which load, unload and role orders the endpoints of one data centre
//! need, from the declared placements, the demand and what the endpoints report
//! as loaded.
//!
//! Only the holder of the data centre's term creates orders: the instance whose
//! Term record for the data centre was accepted last. Each term has its own
//! fencing number. An order states the desired state: it is recorded, sent once
//! its record is accepted, and complete when the endpoint's reports show its
//! effect. Not thread-safe.
class Placer {
 public:
  struct Options {
    //! An order without visible effect may be repeated after this time.
    Millis order_timeout{20000};
    //! Time from the start of a term to its first order to an endpoint that
    //! ignores fencing numbers.
    Millis handover_wait{5000};
  };

  //! State of one endpoint of the data centre, as reported by the endpoint.
  struct EndpointState {
    std::string name;
    std::string service;
    std::vector<std::string> loaded;
    bool up = false;
    bool checks_fencing = false;
    //! Requests open at the endpoint, as counted by this instance or reported
    //! by the endpoint; the larger number.
    int in_flight = 0;
  };

  Placer(std::string data_centre, Options options)
      : data_centre_(std::move(data_centre)), options_(options) {}

  //! Sets the fencing number of the term that this instance holds; nullopt if
  //! it holds none. A change discards all pending orders.
  void SetTerm(Millis now, std::optional<uint64_t> fencing_number);

  //! Returns the orders to record now. `demand` is the number of endpoints
  //! that should have the target loaded for the current demand, by placement.
  std::vector<Order> Decide(Millis now,
                            const std::vector<PlacementSpec>& placements,
                            const std::vector<EndpointState>& endpoints,
                            const std::map<std::string, int>& demand);

  //! Whether an accepted order may still be sent: its term is current and no
  //! other order to its endpoint has followed.
  bool MaySend(const Order& order) const;

  std::optional<uint64_t> fencing_number() const { return fencing_number_; }

 private:
  //! The latest order to an endpoint.
  struct Pending {
    Order order;
    Millis created_at;
  };

  //! Whether the endpoint may not get an order now, because it ignores
  //! fencing numbers and the term began less than handover_wait ago, or because
  //! its latest order has neither taken effect nor timed out.
  bool IsBusy(Millis now, const EndpointState& endpoint) const;
  std::optional<Order> ChooseLoad(
      Millis now,
      const PlacementSpec& placement,
      const std::vector<EndpointState>& endpoints) const;
  std::optional<Order> ChooseUnload(Millis now,
                                    const PlacementSpec& placement,
                                    const std::vector<EndpointState>& endpoints,
                                    int copies) const;

  std::string data_centre_;
  Options options_;
  std::optional<uint64_t> fencing_number_;
  Millis term_since_;
  std::map<std::string, Pending> pending_;  //!< By endpoint.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_PLACER_H_
