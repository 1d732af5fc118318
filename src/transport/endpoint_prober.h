#ifndef TRANSPORT_ENDPOINT_PROBER_H_
#define TRANSPORT_ENDPOINT_PROBER_H_

#include <functional>
#include <map>
#include <string>

#include "coordination/endpoint_observation.h"
#include "coordination/endpoint_spec.h"
#include "state/millis.h"

namespace tamaracktrail {

class HttpClient;

//! Requests the health reports of endpoints. Belongs to the task of its client.
class EndpointProber {
 public:
  using OnObservation = std::function<void(const EndpointObservation&)>;

  //! Shortest time between two probes of an endpoint by Probe(); half of the
  //! default of EndpointTable::Options::probe_after.
  static constexpr Millis kProbeInterval{450};
  static constexpr Millis kTimeout{1000};

  //! Precondition: `client` outlives the prober.
  EndpointProber(HttpClient* client, OnObservation on_observation);

  //! Probes the endpoint unless a probe was sent within kProbeInterval.
  void Probe(Millis now, const EndpointSpec& endpoint);

  //! Probes the endpoint immediately; reports to `done` as well as to
  //! `on_observation`, or to neither if the request is cancelled because the
  //! client is destroyed.
  void ProbeNow(Millis now, const EndpointSpec& endpoint, OnObservation done);

 private:
  HttpClient* client_;
  OnObservation on_observation_;
  std::map<std::string, Millis> last_probe_at_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_ENDPOINT_PROBER_H_
