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

//! After an incarnation's exit, collects from every other instance of the data
//! centre the reservations and charges under its share that the instance still
//! accounts for.
//!
//! The exited incarnation's reservations and shares may be freed only when each
//! instance that has joined and not exited has reported. An unreachable
//! instance blocks this; there is no timeout. Not thread-safe.
class ExitSweep {
 public:
  static constexpr Millis kQueryInterval = kSecond;

  //! Result of a sweep in which all members have reported.
  struct CompletedSweep {
    uint64_t exited = 0;
    std::vector<KeptShare> kept;  //!< One element per attempt.
  };

  //! Starts a sweep. An incarnation may be swept again after its sweep is
  //! complete; has no effect while one is open.
  void Start(uint64_t exited);

  void OnReport(const OrphanReport& report);

  //! Sends queries to the members that have not reported. `members` are the
  //! instances of the data centre that have joined and not exited, without this
  //! one.
  void OnTick(Millis now, std::span<const uint64_t> members, Outbox& outbox);

  //! Sweeps for which all `members` have reported; each is returned once.
  std::vector<CompletedSweep> TakeCompletedSweeps(
      std::span<const uint64_t> members);

  //! Sweeps that still wait for a report.
  size_t open_sweeps() const { return sweeps_.size(); }

 private:
  struct Sweep {
    std::set<uint64_t> reporters;
    std::map<uint64_t, KeptShare> kept;  //!< By attempt.
    Millis queried_at;
    bool queried = false;
  };

  std::map<uint64_t, Sweep> sweeps_;  //!< By exited incarnation.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_EXIT_SWEEP_H_
