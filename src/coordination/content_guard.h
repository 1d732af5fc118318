#ifndef COORDINATION_CONTENT_GUARD_H_
#define COORDINATION_CONTENT_GUARD_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "coordination/entry_notice.h"
#include "coordination/outbox.h"
#include "state/control_fold.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Keeps content from crashing more than two endpoints: after one crash, one
//! trial is allowed, which is claimed on the log; after two, the content is not
//! run again. Not thread-safe.
class ContentGuard {
 public:
  //! `self` is the incarnation of this process. `readback_timeout` is the
  //! time limit for reading an appended trial back from the log.
  //! Precondition: `fold` outlives the guard.
  ContentGuard(uint64_t self, Millis readback_timeout, const ControlFold* fold)
      : self_(self), readback_timeout_(readback_timeout), fold_(fold) {}

  //! Requests a verdict on whether an attempt may run its content.
  void Check(Millis now,
             uint64_t attempt,
             const std::string& content,
             Outbox& outbox);

  //! The attempt's endpoint crashed. Records the crash, notifies `peers`, and
  //! requests a verdict on whether the attempt may be repeated.
  void OnCrash(Millis now,
               uint64_t attempt,
               const Crash& crash,
               std::span<const uint64_t> peers,
               Outbox& outbox);

  //! A peer reported a crash that may not be on the log yet.
  void OnNotice(const Crash& crash);

  //! The attempt ended; `succeeded` if its complete answer was delivered. Ends
  //! the attempt's trial, if it had one.
  void OnEnd(uint64_t attempt,
             const std::string& content,
             bool succeeded,
             Outbox& outbox);

  //! Decides the attempts that wait for a trial to be read back from the log.
  void OnTick(Millis now, Outbox& outbox);

  //! Returns the verdicts since the last call.
  std::vector<ContentVerdict> TakeVerdicts();

 private:
  struct Pending {
    std::string content;
    Millis deadline;
    bool trial_appended = false;  //!< The trial was put into the outbox.
  };

  void Decide(Millis now, uint64_t attempt, Outbox& outbox);
  size_t CrashCount(const std::string& content) const;

  uint64_t self_;
  Millis readback_timeout_;
  const ControlFold* fold_;
  std::map<uint64_t, Pending> pending_;                         //!< By attempt.
  std::map<std::string, std::set<uint64_t>> reported_crashes_;  //!< By content.
  std::vector<ContentVerdict> verdicts_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_CONTENT_GUARD_H_
