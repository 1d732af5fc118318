#ifndef COORDINATION_COLD_ENDPOINTS_H_
#define COORDINATION_COLD_ENDPOINTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/endpoint_limits.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Limits the requests to endpoints that have just started and are cold.
//!
//! The directory says for how long an endpoint is cold, the configuration how
//! many requests a second its service then tolerates. All instances together
//! send no more than the bounds in any second, which EndpointLimits ensures
//! without messages; afterwards the rate of each grows. Endpoints are named by
//! the hash of their incarnation. Not thread-safe.
class ColdEndpoints {
 public:
  //! Longest cold time that is believed; the endpoint's next entry can renew
  //! it.
  static constexpr Millis kMaxCold{600000};

  //! In one second a cold endpoint gets at most what it tolerates times
  //! `overage`, and `tolerance` more.
  struct Bounds {
    double overage = 1.5;
    double tolerance = 5;

    friend bool operator==(const Bounds&, const Bounds&) = default;
  };

  ColdEndpoints();

  void SetBounds(const Bounds& bounds);

  //! Sets the hashes of all registered instances and of this one. Before the
  //! first call nothing is sent to a cold endpoint.
  void SetInstances(std::vector<uint64_t> instances, uint64_t self);

  //! Sets the requests a second that a cold endpoint tolerates, by service.
  //! Endpoints of other services, or with 0, are not limited.
  void SetServices(Millis now, std::map<std::string, double> per_second);

  //! An entry of the directory, newer than the last one, says that the endpoint
  //! is cold for another `remaining`; 0 or less if it is not.
  void OnEntry(Millis now,
               uint64_t endpoint,
               const std::string& service,
               Millis remaining);

  //! Whether the endpoint takes fewer requests than this instance has: it is
  //! cold, or the rate still grows afterwards.
  bool IsRestricted(Millis now, uint64_t endpoint) const {
    return limits_.IsRestricted(now, endpoint);
  }

  //! Whether a request may be sent to the endpoint now.
  bool MaySend(Millis now, uint64_t endpoint) const {
    return limits_.MaySend(now, endpoint);
  }

  //! Requests a second that this instance may send; infinite without a limit.
  double RatePerSecond(Millis now, uint64_t endpoint) const {
    return limits_.RatePerSecond(now, endpoint);
  }

  //! Returns the time until a request may be sent; nullopt if this instance
  //! sends nothing there.
  std::optional<Millis> TimeToNext(Millis now, uint64_t endpoint) const {
    return limits_.TimeToNext(now, endpoint);
  }

  //! A request is sent to the endpoint.
  void OnSent(Millis now, uint64_t endpoint) { limits_.OnSent(now, endpoint); }

  //! The endpoint is gone.
  void Forget(uint64_t endpoint);

  //! Ends cold times and drops expired state.
  void OnTick(Millis now);

  //! Number of cold endpoints that are limited.
  size_t size() const { return limits_.size(); }

 private:
  struct Cold {
    std::string service;
    Millis until;
  };

  //! Sets the limit of an endpoint by its service, if it is cold.
  void SetLimit(Millis now, uint64_t endpoint);

  std::map<std::string, double> per_second_;  //!< By service.
  std::map<uint64_t, Cold> cold_;             //!< By endpoint.
  EndpointLimits limits_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_COLD_ENDPOINTS_H_
