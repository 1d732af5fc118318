#ifndef COORDINATION_EVACUATION_SET_H_
#define COORDINATION_EVACUATION_SET_H_

#include <cstdint>
#include <set>
#include <string>

#include "coordination/topic_position.h"
#include "state/digest.h"

namespace tamaracktrail {

//! The data centres that are evacuated as of a position in the operator's
//! topic. Thread-safe, as a value.
struct EvacuationSet {
  TopicPosition as_of;
  std::set<std::string> data_centres;

  //! Hash of the data centres, the same at all instances; 0 without any.
  uint64_t digest() const {
    uint64_t hash = 0;
    for (const std::string& it : data_centres) {
      hash = StableHash(it, hash);
    }
    return hash;
  }

  friend bool operator==(const EvacuationSet&, const EvacuationSet&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_EVACUATION_SET_H_
