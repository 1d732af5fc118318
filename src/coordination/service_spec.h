#ifndef COORDINATION_SERVICE_SPEC_H_
#define COORDINATION_SERVICE_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "state/millis.h"

namespace tamaracktrail {

//! A service as the configuration declares it.
struct ServiceSpec {
  enum class Kind { kModel, kPlain };

  std::string name;
  Kind kind = Kind::kModel;
  std::string owner;  //!< Team responsible for the service.
  std::string model;  //!< Model name in requests; for kModel only.
  //! Whether a call that is sent again with a start index continues the same
  //! answer.
  bool resumable = false;
  //! A request's priority is the organisation's plus this minus 5.
  int priority = 5;
  int64_t cost = 1;  //!< Tokens charged per call; for kPlain only.
  //! Limit and default of a request's max_tokens; for kModel only.
  int64_t max_tokens = 4096;
  Millis deadline{30000};                   //!< Longest wait in the queue.
  std::vector<std::string> non_repeatable;  //!< "METHOD /path-prefix".

  //! Whether a call may be sent again after it may already have run.
  //! Thread-safe.
  bool Repeatable(const std::string& method, const std::string& path) const;

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_SERVICE_SPEC_H_
