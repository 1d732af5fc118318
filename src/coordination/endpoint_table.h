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
#include "protocol/endpoint_news.h"
#include "state/millis.h"

namespace tamaracktrail {

//! What this instance knows of the endpoints: health, estimated load, ejection
//! of outliers and slow start.
//!
//! An endpoint is a candidate only while an observation of it is fresh, so that
//! one that leaves gets nothing new after `stale_after`, whatever messages are
//! lost. Not thread-safe.
class EndpointTable {
 public:
  struct Options {
    Millis stale_after{1900};  //!< Age at which an observation is no use.
    Millis probe_before{900};  //!< Age at which this instance probes itself.
    Millis load_lag{500};      //!< Lag of the load that endpoints report.
    double full_load = 1.5;    //!< Load above which an endpoint is left out;
                               //!< above 1 a request waits at the endpoint.
    Millis slow_start{10000};  //!< Ramp after an endpoint came up.
    double slow_start_floor = 0.1;
    int eject_after = 3;       //!< Consecutive failures.
    Millis eject_time{5000};   //!< Doubles with each further ejection.
    double max_ejected = 0.5;  //!< Part of a service's endpoints.
  };

  EndpointTable(std::string data_centre, Options options);

  //! Replaces the declared endpoints; known state of those that stay is kept.
  void SetSpecs(const std::vector<EndpointSpec>& specs);

  void Observe(const EndpointObservation& observation);

  //! After a pause of this process: nothing seen before `now` counts.
  void ForgetBefore(Millis now) { not_before_ = now; }

  //! Number of instances that send to the same endpoints, this one included.
  //! They are taken to send like this one between two reports of the load.
  void SetSharers(int sharers) { sharers_ = sharers; }

  //! A request goes to the endpoint. Pair each call with one of OnFinish.
  void OnDispatch(Millis now, const std::string& endpoint);

  enum class Finish { kOk, kFailed, kRefused };
  //! `since` is the time of the request's OnDispatch.
  void OnFinish(Millis now,
                const std::string& endpoint,
                Millis since,
                Finish finish);

  //! Endpoints of a service that may get a request now: this data centre's, and
  //! others only where this one has none. Those at their capacity are left out
  //! unless `with_full`.
  std::vector<EndpointCandidate> Candidates(Millis now,
                                            const std::string& service,
                                            bool with_full = false) const;

  //! Further requests that the endpoints can run at once.
  int Room(Millis now, const std::string& service) const;

  //! Whether one endpoint may get a request now.
  bool Usable(Millis now, const std::string& endpoint) const;

  //! Endpoints whose observation this instance should renew itself: its own
  //! duty, what peers tell nothing fresh of, and another data centre's only
  //! where this one has none for the service.
  std::vector<EndpointSpec> ToProbe(Millis now,
                                    const std::vector<std::string>& own) const;

  //! This instance's own recent observations of `endpoints`, for heartbeats.
  std::vector<EndpointNews> News(Millis now,
                                 const std::vector<std::string>& own) const;

  const EndpointSpec* Find(const std::string& endpoint) const;
  std::vector<EndpointSpec> Specs() const;
  std::optional<EndpointObservation> Last(const std::string& endpoint) const;
  int InFlight(const std::string& endpoint) const;

 private:
  struct Span {
    Millis since;
    Millis until;
  };

  struct Entry {
    EndpointSpec spec;
    std::optional<EndpointObservation> last;
    std::optional<Millis> up_since;
    int failures = 0;
    int ejections = 0;
    Millis ejected_until;
    std::multiset<Millis> open;  //!< Dispatches that have not ended.
    std::deque<Span> ended;      //!< Recent ones that have.
  };

  bool Fresh(Millis now, const Entry& entry) const;
  bool Dispatchable(Millis now, const Entry& entry) const;
  double Load(Millis now, const Entry& entry) const;
  double RampOf(Millis now, const Entry& entry) const;
  bool MayEject(Millis now, const std::string& service) const;

  std::string data_centre_;
  Options options_;
  Millis not_before_;
  int sharers_ = 1;
  std::map<std::string, Entry> entries_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_TABLE_H_
