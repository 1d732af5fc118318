#ifndef COORDINATION_ENDPOINT_LIMITS_H_
#define COORDINATION_ENDPOINT_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "coordination/reported_limit.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Keeps limits of endpoints: requests a second that an endpoint takes from all
//! instances together.
//!
//! All instances keep a limit without talking to each other. A limit of a few
//! requests a second cannot be divided among all of them: each would send its
//! first request at once. So a limit is divided among as many instances as it
//! can bear, chosen by rendezvous hashing over the instances that are
//! registered in the store. The others send next to nothing. Reports of peers
//! only make a limit, or its end, known sooner. Not thread-safe.
class EndpointLimits {
 public:
  enum class Change { kNone, kNamed, kChanged, kEnded };

  //! How a limit is kept by many instances.
  struct Division {
    double per_second = 0;  //!< Sent by all instances together.
    double senders = 0;     //!< Instances that send; 1 or more.
  };

  //! Differences between kinds of limits. The defaults are for limits that
  //! endpoints name in their answers.
  struct Rules {
    //! Divides a limit of some requests a second.
    std::function<Division(double per_second)> divide = &DivideNamedLimit;
    //! Fraction of the limit that instances which send nothing send together
    //! once they have had no news for long, since they may have missed its end.
    double stale_fraction = 0.1;
    //! After the end of a limit the rate of each instance grows from its part
    //! of the limit, but at least from this.
    double min_return_per_second = 0.1;
  };

  EndpointLimits() = default;
  explicit EndpointLimits(Rules rules) : rules_(std::move(rules)) {}

  //! Divides known limits anew. Tokens that were collected are kept.
  void SetRules(Rules rules);

  //! Sets the hashes of all registered instances and of this one. Before the
  //! first call nothing is sent to an endpoint with a limit.
  void SetInstances(std::vector<uint64_t> instances, uint64_t self);

  //! An endpoint answered a request that was sent at `sent_at`, and named a
  //! limit or none. Precondition: the limit is finite and not negative.
  Change OnAnswer(Millis now,
                  uint64_t endpoint,
                  Millis sent_at,
                  std::optional<double> per_second);

  //! Sets the limit of an endpoint, or its end, as known from elsewhere than
  //! its answers. Precondition: the limit is finite and not negative.
  Change Set(Millis now, uint64_t endpoint, std::optional<double> per_second);

  //! A peer reported what an endpoint told it. Older news than known are
  //! ignored.
  Change OnReport(Millis now, const ReportedLimit& reported);

  //! Returns what endpoints told this instance lately, for its peers.
  std::vector<ReportedLimit> MakeReport(Millis now) const;

  //! Whether the endpoint has a limit. After its end a growing rate is still
  //! kept for a while.
  bool IsLimited(uint64_t endpoint) const {
    return LimitOf(endpoint).has_value();
  }

  //! Returns the limit, or nullopt.
  std::optional<double> LimitOf(uint64_t endpoint) const;

  //! Whether the endpoint has a limit, or its rate still grows after one.
  bool IsRestricted(Millis now, uint64_t endpoint) const;

  //! Whether a request may be sent to the endpoint now.
  bool MaySend(Millis now, uint64_t endpoint) const;

  //! Requests a second that this instance may send to the endpoint.
  double OwnRate(uint64_t endpoint) const;

  //! The same at `now`, also while the rate grows after the end of a limit;
  //! infinite without one.
  double RatePerSecond(Millis now, uint64_t endpoint) const;

  //! Returns the time until a request may be sent; nullopt if this instance
  //! sends nothing there.
  std::optional<Millis> TimeToNext(Millis now, uint64_t endpoint) const;

  //! A request is sent to the endpoint.
  void OnSent(Millis now, uint64_t endpoint);

  //! The endpoint is gone.
  void Forget(uint64_t endpoint) { limits_.erase(endpoint); }

  //! Drops expired state.
  void OnTick(Millis now);

  //! Number of endpoints with limits.
  size_t size() const;

 private:
  struct Limit {
    double per_second = 0;
    //! Requests a second that this instance may send; the first rate of the
    //! return once the limit has ended.
    double own_rate = 0;
    //! The same while news are missing for long.
    double stale_rate = 0;
    Millis told_at;     //!< Last answer to this instance; 0 for none.
    Millis heard_at;    //!< Last answer to any instance, as far as known.
    Millis ended_at;    //!< 0 while the limit holds.
    double tokens = 0;  //!< At `updated_at`.
    Millis updated_at;
  };

  //! Sets the limit of an endpoint, or its end.
  Change Apply(Millis now, uint64_t endpoint, std::optional<double> per_second);
  void SetRates(uint64_t endpoint, Limit* limit) const;
  void SetAllRates();
  //! Number of instances among which a limit is divided, all at most.
  size_t SenderCount(double senders) const;
  //! A number in [0, 1) that differs between instances, so that those which
  //! learn of a change together send their first requests at different times.
  double FirstTokens(uint64_t endpoint) const;
  static Division DivideNamedLimit(double per_second);
  static double RateOf(Millis now, const Limit& limit);
  static double TokensOf(Millis now, const Limit& limit);

  Rules rules_;
  std::vector<uint64_t> instances_;
  uint64_t self_ = 0;
  std::map<uint64_t, Limit> limits_;  //!< By endpoint.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_LIMITS_H_
