#ifndef COORDINATION_SUSPECT_CRASH_H_
#define COORDINATION_SUSPECT_CRASH_H_

#include <cstdint>
#include <vector>

namespace tamaracktrail {

//! A request that had no answer yet when its endpoint crashed, as instances
//! report it to each other.
struct SuspectCrash {
  uint64_t endpoint = 0;  //!< Hash of the endpoint's incarnation.
  //! What may have caused the crash: hashes of the ids of the shared prompt
  //! parts in the order of the prompt, then the hash of the whole content.
  std::vector<uint64_t> units;
  //! Bit i: unit i was not answered since.
  uint32_t implicated = 0;
  int64_t age_ms = 0;  //!< Time from the crash to the report.

  friend bool operator==(const SuspectCrash&, const SuspectCrash&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, units, implicated, age_ms);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_SUSPECT_CRASH_H_
