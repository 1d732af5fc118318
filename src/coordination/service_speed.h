#ifndef COORDINATION_SERVICE_SPEED_H_
#define COORDINATION_SERVICE_SPEED_H_

#include <cstdint>
#include <map>

#include "coordination/prefill_sums.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Measures the usual speed of a service's engines: the time to the first event
//! of an idle engine and the prompt tokens prefilled per millisecond, by linear
//! regression over own samples and those that peers report.
//!
//! Sums decay, and a report replaces the peer's last one. Not thread-safe.
class ServiceSpeed {
 public:
  //! An own request had `tokens` to prefill, including those queued before it,
  //! and got its first event after `ms`.
  //! Precondition: `tokens` >= 0, `ms` > 0.
  void OnSample(double tokens, double ms);

  //! Replaces the sums that a peer reported. Ignores impossible values.
  void OnReported(uint64_t peer, const PrefillSums& sums);

  //! Own samples, for the peers.
  const PrefillSums& own() const { return own_; }

  //! Decays all samples and updates the values below. Precondition: `now` is
  //! not before that of an earlier call.
  void OnTick(Millis now);

  //! An own request was answered completely after `ms`.
  void OnAnswered(double ms);

  //! Returns the usual time from the send to the end of an answer, ms.
  double answer_ms() const { return answer_ms_; }
  double base_ms() const { return base_ms_; }
  double tokens_per_ms() const { return 1000 / ms_per_k_tokens_; }

  //! Returns the usual time to the first event, ms.
  double TimeToFirstEvent(double tokens) const {
    return base_ms_ + ms_per_k_tokens_ * tokens / 1000;
  }

 private:
  void Solve(const PrefillSums& sums);

  PrefillSums own_;
  std::map<uint64_t, PrefillSums> peers_;
  Millis decayed_at_;  //!< 0 before the first tick.
  // Values before the first samples; engine types prefill 57 to 125 tokens a
  // ms, and their first event takes 13 to 62 ms.
  double base_ms_ = 45;
  double ms_per_k_tokens_ = 1000.0 / 60;
  double answer_ms_ = 1000;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_SERVICE_SPEED_H_
