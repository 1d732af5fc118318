#ifndef COORDINATION_REPORTED_SPEED_H_
#define COORDINATION_REPORTED_SPEED_H_

#include <cstdint>

namespace tamaracktrail {

//! The sender's own measurements of one endpoint incarnation; see
//! EndpointSpeeds. Decayed sums, so that a report replaces earlier ones.
struct ReportedSpeed {
  uint64_t endpoint = 0;  //!< By the hash of the incarnation.
  float samples = 0;
  float log_ratios = 0;  //!< Sum of the logarithms of the measured ratios.

  friend bool operator==(const ReportedSpeed&, const ReportedSpeed&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, samples, log_ratios);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_REPORTED_SPEED_H_
