#ifndef COORDINATION_ENDPOINT_CANDIDATE_H_
#define COORDINATION_ENDPOINT_CANDIDATE_H_

#include <string>

namespace tamaracktrail {

//! An endpoint that may receive a request now.
struct EndpointCandidate {
  std::string name;
  double load = 0;    //!< Estimated requests in progress / capacity.
  bool local = true;  //!< In this instance's data centre.

  friend bool operator==(const EndpointCandidate&,
                         const EndpointCandidate&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ENDPOINT_CANDIDATE_H_
