#ifndef COORDINATION_EXIT_SWEEP_H_
#define COORDINATION_EXIT_SWEEP_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "coordination/outbox.h"
#include "protocol/orphan_report.h"
#include "state/kept_share.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Collects, after an incarnation's exit, what every other instance of the data
//! centre still accounts for under it.
//!
//! Only when each instance that joined and has not exited has reported may the
//! exited one's reservations and shares be freed; an instance that cannot be
//! reached blocks this, and no timeout ends the wait. Not thread-safe.
class ExitSweep {
 public:
  static constexpr Millis kRepeat = kSecond;

  //! A sweep that has heard from all.
  struct Complete {
    uint64_t exited = 0;
    std::vector<KeptShare> kept;  //!< One entry an attempt.
  };

  //! Starts a sweep, which may be a further one of the same incarnation. Has no
  //! effect where one is running.
  void Start(uint64_t exited);

  void OnReport(const OrphanReport& report);

  //! Asks the members that have not reported. `members` are the joined and not
  //! exited instances of the data centre without this one.
  void OnTick(Millis now, std::span<const uint64_t> members, Outbox& outbox);

  //! Sweeps for which all `members` have reported; each is returned once.
  std::vector<Complete> TakeComplete(std::span<const uint64_t> members);

  //! Sweeps that still wait for a report.
  size_t open() const { return sweeps_.size(); }

 private:
  struct Sweep {
    std::set<uint64_t> reporters;
    std::map<uint64_t, KeptShare> kept;  //!< By attempt.
    Millis asked_at;
    bool asked = false;
  };

  std::map<uint64_t, Sweep> sweeps_;  //!< By exited incarnation.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_EXIT_SWEEP_H_
