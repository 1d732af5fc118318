#ifndef COORDINATION_REPORTED_LIMIT_H_
#define COORDINATION_REPORTED_LIMIT_H_

#include <cstdint>

namespace tamaracktrail {

//! What an endpoint told an instance of its limit, for the instance's peers.
struct ReportedLimit {
  uint64_t endpoint = 0;  //!< Hash of the endpoint's incarnation.
  double per_second = 0;  //!< Negative: the endpoint has no limit any more.
  int64_t age_ms = 0;     //!< Time since the answer that said so.

  friend bool operator==(const ReportedLimit&, const ReportedLimit&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, per_second, age_ms);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_REPORTED_LIMIT_H_
