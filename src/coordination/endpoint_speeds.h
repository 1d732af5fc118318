#ifndef COORDINATION_ENDPOINT_SPEEDS_H_
#define COORDINATION_ENDPOINT_SPEEDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "coordination/reported_speed.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Measures how much slower than usual each endpoint of a service is, from the
//! samples of this instance and of its peers.
//!
//! One instance has few samples of an endpoint: 12 requests a second for 112
//! endpoints. Each instance keeps decayed sums of its own samples and reports
//! them; a report replaces the peer's last one, so lost, late and repeated
//! reports do not distort the result. Endpoints are named by the hash of their
//! incarnation. Not thread-safe.
class EndpointSpeeds {
 public:
  //! An own request took `ratio` times the time that is usual for the service.
  //! Precondition: `ratio` > 0.
  void OnSample(uint64_t endpoint, double ratio);

  //! Replaces what a peer reported of an endpoint. Ignores impossible values.
  void OnReported(uint64_t peer, const ReportedSpeed& reported);

  //! Returns own samples for the peers: those that changed since the last call,
  //! then others in rotation, since reports may be lost. Fits the space of
  //! `kMaxReported` entries.
  std::vector<ReportedSpeed> MakeReport();

  //! Decays all samples and updates `FactorOf`. Precondition: `now` is not
  //! before that of an earlier call.
  void OnTick(Millis now);

  //! Returns the time that requests at the endpoint take as a multiple of the
  //! service's, as of the last tick; 1 without samples.
  double FactorOf(uint64_t endpoint) const;

  //! The endpoint is gone.
  void Forget(uint64_t endpoint);

  size_t size() const { return endpoints_.size(); }

  static constexpr size_t kMaxReported = 24;

 private:
  struct Samples {
    double count = 0;
    double log_ratios = 0;
  };
  struct Endpoint {
    Samples own;
    std::vector<std::pair<uint64_t, Samples>> peers;
    double factor = 1;
  };

  std::map<uint64_t, Endpoint> endpoints_;
  std::set<uint64_t> changed_;  //!< Own samples since the last report.
  uint64_t rotation_ = 0;       //!< Endpoint that was repeated last.
  Millis decayed_at_;           //!< 0 before the first tick.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_SPEEDS_H_
