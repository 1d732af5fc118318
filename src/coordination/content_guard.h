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

//! Keeps content that crashes endpoints from costing more than two of them: one
//! crash allows one trial, which is claimed on the log; two allow nothing. Not
//! thread-safe.
class ContentGuard {
 public:
  //! `wait` is the longest wait for a trial's read-back. Precondition: `fold`
  //! outlives the guard.
  ContentGuard(uint64_t self, Millis wait, const ControlFold* fold)
      : self_(self), wait_(wait), fold_(fold) {}

  //! Asks whether an attempt may run its content; answered by a verdict.
  void Check(Millis now,
             uint64_t attempt,
             const std::string& content,
             Outbox& outbox);

  //! The attempt's endpoint was lost. Records it, tells `peers`, and asks
  //! whether the attempt may be repeated.
  void OnCrash(Millis now,
               uint64_t attempt,
               const Crash& crash,
               std::span<const uint64_t> peers,
               Outbox& outbox);

  //! A peer tells of a crash before the log has it.
  void OnNotice(const Crash& crash);

  //! The attempt ended, `well` where its answer was delivered whole; ends its
  //! trial, if it had one.
  void OnEnd(uint64_t attempt,
             const std::string& content,
             bool well,
             Outbox& outbox);

  //! Decides what waits for the log.
  void OnTick(Millis now, Outbox& outbox);

  std::vector<ContentVerdict> TakeVerdicts();

 private:
  struct Pending {
    std::string content;
    Millis deadline;
    bool recorded = false;  //!< The trial is on its way to the log.
  };

  void Decide(Millis now, uint64_t attempt, Outbox& outbox);
  size_t CrashCount(const std::string& content) const;

  uint64_t self_;
  Millis wait_;
  const ControlFold* fold_;
  std::map<uint64_t, Pending> pending_;                //!< By attempt.
  std::map<std::string, std::set<uint64_t>> notices_;  //!< By content.
  std::vector<ContentVerdict> verdicts_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_CONTENT_GUARD_H_
