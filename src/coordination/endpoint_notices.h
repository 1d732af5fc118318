#ifndef COORDINATION_ENDPOINT_NOTICES_H_
#define COORDINATION_ENDPOINT_NOTICES_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/cold_endpoints.h"
#include "coordination/endpoint_limits.h"
#include "coordination/endpoint_waits.h"
#include "coordination/leaving_endpoints.h"
#include "state/millis.h"

namespace tamaracktrail {

//! What endpoints say of the requests that they take: in their answers, and in
//! the directory that they are cold.
//! Endpoints are named by the hash of their incarnation. Not thread-safe.
class EndpointNotices {
 public:
  //! Sets the hashes of all registered instances and of this one.
  void SetInstances(const std::vector<uint64_t>& instances, uint64_t self) {
    limits_.SetInstances(instances, self);
    cold_.SetInstances(instances, self);
  }

  EndpointLimits& limits() { return limits_; }
  const EndpointLimits& limits() const { return limits_; }
  EndpointWaits& waits() { return waits_; }
  const EndpointWaits& waits() const { return waits_; }
  ColdEndpoints& cold() { return cold_; }
  const ColdEndpoints& cold() const { return cold_; }
  LeavingEndpoints& leaving() { return leaving_; }
  const LeavingEndpoints& leaving() const { return leaving_; }

  //! Whether the endpoint takes fewer requests than this instance has.
  bool IsRestricted(Millis now, uint64_t endpoint) const {
    return limits_.IsLimited(endpoint) || waits_.IsRestricted(now, endpoint) ||
           cold_.IsRestricted(now, endpoint) || leaving_.Contains(endpoint);
  }

  //! Whether a request may be sent to the endpoint now.
  bool MaySend(Millis now, uint64_t endpoint) const {
    return limits_.MaySend(now, endpoint) && waits_.MaySend(now, endpoint) &&
           cold_.MaySend(now, endpoint) && !leaving_.Contains(endpoint);
  }

  //! Requests a second that this instance may send; infinite without a
  //! restriction. Precondition: the endpoint does not leave.
  double RatePerSecond(Millis now, uint64_t endpoint) const {
    return std::min({limits_.OwnRate(endpoint),
                     waits_.RatePerSecond(now, endpoint),
                     cold_.RatePerSecond(now, endpoint)});
  }

  //! Returns the time until a request may be sent; nullopt if this instance
  //! sends nothing there. Precondition: the endpoint does not leave.
  std::optional<Millis> TimeToNext(Millis now, uint64_t endpoint) const {
    const auto limit = limits_.TimeToNext(now, endpoint);
    const auto cold = cold_.TimeToNext(now, endpoint);
    if (!limit || !cold) {
      return std::nullopt;
    }
    return std::max({*limit, waits_.TimeToNext(now, endpoint), *cold});
  }

  //! A request is sent to the endpoint.
  void OnSent(Millis now, uint64_t endpoint) {
    limits_.OnSent(now, endpoint);
    waits_.OnSent(now, endpoint);
    cold_.OnSent(now, endpoint);
  }

  //! The directory no longer lists the endpoint. That it leaves stays known.
  void Forget(uint64_t endpoint) {
    limits_.Forget(endpoint);
    waits_.Forget(endpoint);
    cold_.Forget(endpoint);
  }

  //! Drops expired state.
  void OnTick(Millis now) {
    limits_.OnTick(now);
    waits_.OnTick(now);
    cold_.OnTick(now);
  }

 private:
  EndpointLimits limits_;
  EndpointWaits waits_;
  ColdEndpoints cold_;
  LeavingEndpoints leaving_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_NOTICES_H_
