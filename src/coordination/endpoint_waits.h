#ifndef COORDINATION_ENDPOINT_WAITS_H_
#define COORDINATION_ENDPOINT_WAITS_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "state/millis.h"

namespace tamaracktrail {

//! Keeps which endpoints asked this instance to send nothing for a time.
//!
//! A wait holds for the instance that was asked, so peers are not told. After
//! it the rate of requests grows from a low one. Endpoints are named by the
//! hash of their incarnation. Not thread-safe.
class EndpointWaits {
 public:
  //! Longest wait that is kept; an endpoint can ask again after it.
  static constexpr Millis kMaxWait{600000};

  //! The endpoint asked for nothing to be sent for `wait`. `spread`, 0 to 1,
  //! differs between instances, so that those which were asked together do not
  //! come back together. Returns whether the wait ends later than known.
  bool OnAsked(Millis now, uint64_t endpoint, Millis wait, double spread);

  //! Whether the endpoint waits, or its rate still grows after a wait.
  bool IsRestricted(Millis now, uint64_t endpoint) const;

  //! Whether a request may be sent to the endpoint now.
  bool MaySend(Millis now, uint64_t endpoint) const;

  //! Requests a second that may be sent; infinite without a restriction.
  double RatePerSecond(Millis now, uint64_t endpoint) const;

  //! Time until a request may be sent.
  Millis TimeToNext(Millis now, uint64_t endpoint) const;

  //! A request is sent to the endpoint.
  void OnSent(Millis now, uint64_t endpoint);

  //! The endpoint is gone.
  void Forget(uint64_t endpoint) { waits_.erase(endpoint); }

  //! Drops expired state.
  void OnTick(Millis now);

  //! Number of endpoints that wait.
  size_t CountWaiting(Millis now) const;

 private:
  struct Wait {
    Millis until;
    double tokens = 0;  //!< At `updated_at`.
    Millis updated_at;  //!< Not before `until`.
  };

  static double RateOf(Millis now, const Wait& wait);
  static double TokensOf(Millis now, const Wait& wait);

  std::map<uint64_t, Wait> waits_;  //!< By endpoint.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_WAITS_H_
