#ifndef COORDINATION_PROMPT_PART_GUARD_H_
#define COORDINATION_PROMPT_PART_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "state/millis.h"

namespace tamaracktrail {

//! Detects prompt parts that crash every endpoint that begins to answer a
//! request with them.
//!
//! A crash implicates all shared parts of the requests that had no answer yet,
//! most of which are sound. An answer to any request with a part clears the
//! part of all earlier crashes, so only a part that is never answered can be
//! blocked. Works on this instance's observations and on peers' reports. Not
//! thread-safe.
class PromptPartGuard {
 public:
  //! An endpoint that crashed before it answered a request.
  struct Crash {
    uint64_t endpoint = 0;        //!< Hash of the endpoint's incarnation.
    std::vector<uint64_t> parts;  //!< Hashes of the ids of the shared parts.
    //! Bit i: part i was not answered since.
    uint32_t implicated = 0;
    int64_t age_ms = 0;  //!< In reports: time since the crash.

    friend bool operator==(const Crash&, const Crash&) = default;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(endpoint, parts, implicated, age_ms);
    }
  };

  //! A request with these shared parts, in the order of the prompt, was open
  //! without an answer when its endpoint crashed at `at`.
  void OnCrash(Millis now,
               Millis at,
               uint64_t endpoint,
               const std::vector<uint64_t>& parts);

  //! An endpoint has answered a request with the part.
  void OnAnswered(Millis now, uint64_t part);

  //! A peer reported crashes.
  void OnReport(Millis now, const std::vector<Crash>& crashes);

  //! Returns at most `n` crashes for the peers: recent changes, and once a
  //! second what blocks a part.
  std::vector<Crash> MakeReport(Millis now, size_t n);

  //! Whether requests with the part must not be sent. A block ends after a
  //! while, which doubles with each further crash.
  bool IsBlocked(Millis now, uint64_t part) const;

  //! Whether the part was not answered since a crash that implicates it.
  bool IsSuspect(uint64_t part) const { return CountCrashes(part) > 0; }

  //! Number of crashes that implicate the part and did not happen together.
  int CountCrashes(uint64_t part) const;

  //! Returns the crashes that became known since the last call, for the log.
  std::vector<Crash> TakeLearned();

  //! Drops expired state.
  void OnTick(Millis now);

 private:
  struct Record {
    Crash crash;
    Millis at;
    Millis changed_at;
  };

  Record* Find(uint64_t endpoint, const std::vector<uint64_t>& parts);
  std::vector<const Record*> RecordsOf(uint64_t part) const;
  std::set<uint64_t> BlockedParts(Millis now) const;

  std::vector<Record> records_;  //!< Oldest first.
  std::vector<Crash> learned_;   //!< Since the last TakeLearned.
  Millis repeated_at_;           //!< Last report of what blocks a part.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_PROMPT_PART_GUARD_H_
