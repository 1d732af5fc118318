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

//! Asks endpoints for their state. Belongs to the task of its client.
class EndpointProber {
 public:
  using OnSeen = std::function<void(const EndpointObservation&)>;

  static constexpr Millis kPeriod{450};  //!< Between probes of one endpoint.
  static constexpr Millis kTimeout{1000};

  //! Precondition: `client` outlives the prober.
  EndpointProber(HttpClient* client, OnSeen on_seen);

  //! Probes the endpoint unless a probe is on its way or was sent lately.
  void Probe(Millis now, const EndpointSpec& endpoint);

  //! Probes the endpoint at once and tells `done` as well.
  void ProbeNow(Millis now, const EndpointSpec& endpoint, OnSeen done);

 private:
  HttpClient* client_;
  OnSeen on_seen_;
  std::map<std::string, Millis> probed_at_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_ENDPOINT_PROBER_H_
