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

//! Decides which orders the endpoints of one data centre need, from the
//! declared placements, the demand and what the endpoints report as loaded.
//!
//! It acts only for the holder of the data centre's term. Orders are desired
//! state: each is recorded, sent once its record is accepted, and read back
//! from the endpoint's reports. Not thread-safe.
class Placer {
 public:
  struct Options {
    Millis order_timeout{20000};  //!< Then a missing effect is ordered again.
    Millis handover_wait{5000};   //!< From a new term to its first order to an
                                  //!< endpoint that ignores fencing numbers.
  };

  //! One endpoint of the data centre as it reports itself.
  struct EndpointState {
    std::string name;
    std::string service;
    std::vector<std::string> loaded;
    bool up = false;
    bool checks_fencing = false;
    int in_flight = 0;
  };

  Placer(std::string data_centre, Options options)
      : data_centre_(std::move(data_centre)), options_(options) {}

  //! This instance holds the term with this fencing number, or (nullopt) holds
  //! none.
  void SetTerm(Millis now, std::optional<uint64_t> fencing_number);

  //! Orders to record now. `demand` is the number of copies that the load calls
  //! for, by placement.
  std::vector<Order> Decide(Millis now,
                            const std::vector<PlacementSpec>& placements,
                            const std::vector<EndpointState>& endpoints,
                            const std::map<std::string, int>& demand);

  //! Whether an accepted order may still be sent.
  bool MaySend(const Order& order) const;

  std::optional<uint64_t> fencing_number() const { return fencing_number_; }

 private:
  struct Pending {
    Order order;
    Millis since;
  };

  bool Busy(Millis now, const EndpointState& endpoint) const;
  std::optional<Order> Load(Millis now,
                            const PlacementSpec& placement,
                            const std::vector<EndpointState>& endpoints) const;
  std::optional<Order> Unload(Millis now,
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
