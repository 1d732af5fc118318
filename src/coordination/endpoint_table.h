#ifndef COORDINATION_ENDPOINT_TABLE_H_
#define COORDINATION_ENDPOINT_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/endpoint_candidate.h"
#include "coordination/endpoint_observation.h"
#include "coordination/endpoint_spec.h"
#include "coordination/endpoint_waits.h"
#include "protocol/probe_report.h"
#include "state/millis.h"

namespace tamaracktrail {

//! The endpoints that the configuration declares, with their probed health and
//! estimated load, outlier ejection and slow start. EndpointRegistry holds the
//! endpoints that the directory lists.
//!
//! An endpoint is a candidate only while an observation of it is fresh, so that
//! one that is removed receives no requests after `stale_after`, even if
//! messages are lost. Not thread-safe.
class EndpointTable {
 public:
  struct Options {
    Millis stale_after{1900};  //!< Age at which an observation expires.
    //! Age at which this instance renews an observation itself.
    Millis probe_after{900};
    Millis load_lag{500};  //!< Lag of the load that endpoints report.
    //! Load from which an endpoint is not a candidate. Above 1 a request queues
    //! at the endpoint.
    double full_load = 1.5;
    //! Time over which the assumed capacity of an endpoint that became healthy
    //! rises to its full value.
    Millis slow_start{10000};
    double slow_start_floor = 0.1;  //!< Smallest fraction of the capacity.
    int eject_after = 3;            //!< Consecutive failures.
    Millis eject_time{5000};        //!< Doubles with each further ejection.
    double max_ejected = 0.5;       //!< Fraction of a service's endpoints.
  };

  EndpointTable(std::string data_centre, Options options);

  //! Replaces the declared endpoints. Keeps the state of those whose name and
  //! address are unchanged.
  void SetSpecs(const std::vector<EndpointSpec>& specs);

  //! Applies an observation, unless a newer one is known.
  void Observe(const EndpointObservation& observation);

  //! Ignores observations from before `now`; called after this process was
  //! paused.
  void ForgetBefore(Millis now) { valid_from_ = now; }

  //! Sets the number of instances that send to the same endpoints, including
  //! this one. Each is assumed to send as many requests as this one between two
  //! load reports.
  void SetInstanceCount(int instance_count) {
    instance_count_ = instance_count;
  }

  //! A request is sent to the endpoint. Precondition: each call is followed by
  //! one of OnFinish.
  void OnDispatch(Millis now, const std::string& endpoint);

  //! How a request ended. A refused one does not change the count of
  //! consecutive failures.
  enum class Finish { kOk, kFailed, kRefused };
  //! `since` is the time of the request's OnDispatch.
  void OnFinish(Millis now,
                const std::string& endpoint,
                Millis since,
                Finish finish);

  //! The endpoint refused a request and wants none for `wait`; see
  //! EndpointWaits. Returns whether the wait ends later than known.
  bool OnAskedToWait(Millis now,
                     const std::string& endpoint,
                     Millis wait,
                     double spread);

  //! Returns the endpoints of a service that may receive a request now: those
  //! of this data centre, or of the others if this one has none. Omits those
  //! that asked for none, and those at `full_load` unless `include_full`.
  std::vector<EndpointCandidate> Candidates(Millis now,
                                            const std::string& service,
                                            bool include_full = false) const;

  //! Returns how many more requests this instance may send to the service's
  //! endpoints now: its equal part of their free capacity.
  int FreeSlots(Millis now, const std::string& service) const;

  //! Whether an endpoint may receive a request now.
  bool Usable(Millis now, const std::string& endpoint) const;

  //! Returns the endpoints that this instance should probe: those of its
  //! assignment, and those without a recent observation from peers.
  //! The latter include endpoints of other data centres only where this one has
  //! no usable endpoint for the service.
  std::vector<EndpointSpec> ToProbe(
      Millis now,
      const std::vector<std::string>& assigned) const;

  //! Returns the fresh observations of the assigned endpoints, for heartbeats.
  std::vector<ProbeReport> ProbeReports(
      Millis now,
      const std::vector<std::string>& assigned) const;

  const EndpointSpec* Find(const std::string& endpoint) const;
  std::vector<EndpointSpec> Specs() const;
  std::optional<EndpointObservation> LastObservation(
      const std::string& endpoint) const;
  //! Returns the number of this instance's open requests at an endpoint.
  int InFlight(const std::string& endpoint) const;

 private:
  struct RequestSpan {
    Millis since;
    Millis until;
  };

  struct Entry {
    EndpointSpec spec;
    std::optional<EndpointObservation> last_observation;
    std::optional<Millis> up_since;
    int failures = 0;
    int ejections = 0;
    Millis ejected_until;
    std::multiset<Millis> open_since;  //!< Start times of open requests.
    std::deque<RequestSpan> finished;  //!< Recently finished requests.
  };

  bool Fresh(Millis now, const Entry& entry) const;
  bool Usable(Millis now, const Entry& entry) const;
  double Load(Millis now, const Entry& entry) const;
  double SlowStartFactor(Millis now, const Entry& entry) const;
  bool MayEject(Millis now, const std::string& service) const;

  std::string data_centre_;
  Options options_;
  Millis valid_from_;  //!< Older observations are ignored.
  int instance_count_ = 1;
  std::map<std::string, Entry> entries_;
  EndpointWaits waits_;  //!< By the hash of the endpoint's name.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_TABLE_H_
