#ifndef COORDINATION_CRASH_SUSPECTS_H_
#define COORDINATION_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "coordination/suspect_crash.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Detects what crashes every endpoint that begins to answer a request with it:
//! a whole content, or one part of the prompt.
//!
//! A crash implicates the content and the shared parts of each request that had
//! no answer yet; most of them are sound. An answer to any request with a unit
//! clears the unit of all earlier crashes, so only one that is never answered
//! can be blocked. Works on this instance's observations and on peers' reports.
//! Not thread-safe.
class CrashSuspects {
 public:
  //! `block_spread`, in [0, 1], lengthens blocks by up to a half. Instances
  //! with different values let requests through again one after the other, so
  //! that the first ones show whether the unit still crashes endpoints.
  explicit CrashSuspects(double block_spread = 0)
      : block_spread_(block_spread) {}

  //! A request with these shared parts and this content was open without an
  //! answer when its endpoint crashed at `at`.
  void OnCrash(Millis now,
               Millis at,
               uint64_t endpoint,
               const std::vector<uint64_t>& parts,
               uint64_t content);

  //! An endpoint has answered a request with the unit.
  void OnAnswered(Millis now, uint64_t unit);

  //! A peer reported crashes. The work for each grows with the number of
  //! records, so the caller limits the number of crashes.
  void OnReport(Millis now, const std::vector<SuspectCrash>& crashes);

  //! Returns at most `n` crashes for the peers: recent changes, and once a
  //! second what blocks a unit. What is closest to a block comes first.
  std::vector<SuspectCrash> MakeReport(Millis now, size_t n);

  //! An instance's entry in the topic of crashes was read. `is_own`: this
  //! instance, or its predecessor, wrote it.
  void OnEntryRead(Millis now,
                   const std::vector<SuspectCrash>& crashes,
                   bool is_own);

  //! Whether the topic lacks a crash that this instance saw, or an answer that
  //! it knows of.
  bool HasUnwritten() const;

  //! Returns this instance's entry: at most `n` crashes, those it has to write
  //! and those it wrote before. What still implicates a unit comes first, then
  //! the newest.
  std::vector<SuspectCrash> MakeEntry(Millis now, size_t n) const;

  //! The entry was written.
  void OnEntryWritten(const std::vector<SuspectCrash>& entry);

  //! The topic may have lost any entry.
  void OnTopicRestored();

  //! Whether requests with the part must not be sent. A block ends after a
  //! while, which doubles with each further crash.
  bool IsPartBlocked(Millis now, uint64_t part) const;

  //! As IsPartBlocked, for a whole content; fewer crashes block it.
  bool IsContentBlocked(Millis now, uint64_t content) const;

  //! Whether the unit was not answered since a crash that implicates it.
  bool IsSuspect(uint64_t unit) const { return CountCrashes(unit) > 0; }

  //! Number of crashes that implicate the unit and did not happen together.
  int CountCrashes(uint64_t unit) const;

  //! Returns the crashes that became known since the last call, for the log.
  std::vector<SuspectCrash> TakeLearned();

  //! Drops expired state.
  void OnTick(Millis now);

 private:
  struct Record {
    SuspectCrash crash;
    Millis at;
    Millis changed_at;
    bool seen_here = false;  //!< By an own connection.
    bool in_own_entry = false;
    //! Units that the topic's entries implicate; unset if none has the crash.
    std::optional<uint32_t> written;

    bool IsUnwritten() const {
      return written ? *written != crash.implicated
                     : seen_here && crash.implicated != 0;
    }
  };

  Record* Find(const SuspectCrash& crash);
  Record* Add(Millis now, Millis at, const SuspectCrash& crash);
  void DropLeastSuspect();
  //! Adds a reported crash or merges it with the known one. Returns nullptr for
  //! an invalid one.
  Record* Merge(Millis now, const SuspectCrash& crash);
  std::vector<const Record*> RecordsOf(uint64_t unit) const;
  std::set<uint64_t> BlockedUnits(Millis now) const;

  Millis BlockLength(int crashes, int max_crashes) const;

  double block_spread_;
  std::vector<Record> records_;        //!< Oldest first.
  std::vector<SuspectCrash> learned_;  //!< Since the last TakeLearned.
  Millis repeated_at_;                 //!< Last report of what blocks a unit.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_CRASH_SUSPECTS_H_
