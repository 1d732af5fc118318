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
  std::string owner;       //!< Team that answers for the service.
  std::string model;       //!< Model name callers use; for kModel.
  bool resumable = false;  //!< A resumed answer equals the whole answer.
  int priority = 5;        //!< Added to the organisation's, 5 being neutral.
  int64_t cost = 1;        //!< Tokens a call of a plain service costs.
  int64_t max_tokens = 4096;
  Millis deadline{30000};                   //!< Longest wait in the queue.
  std::vector<std::string> non_repeatable;  //!< "METHOD /path-prefix".

  //! Whether a call may be run again after it may have run. Thread-safe.
  bool Repeatable(const std::string& method, const std::string& path) const;

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_SERVICE_SPEC_H_
