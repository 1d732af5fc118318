#ifndef COORDINATION_REPORTED_SERVICE_SPEED_H_
#define COORDINATION_REPORTED_SERVICE_SPEED_H_

#include <cstdint>

#include "coordination/prefill_sums.h"

namespace tamaracktrail {

//! The sender's own measurements of one service; see ServiceSpeed.
struct ReportedServiceSpeed {
  uint64_t service = 0;  //!< By the hash of its name.
  PrefillSums sums;

  friend bool operator==(const ReportedServiceSpeed&,
                         const ReportedServiceSpeed&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, sums);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_REPORTED_SERVICE_SPEED_H_
