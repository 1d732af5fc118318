#ifndef TRANSPORT_INTERNAL_STATUS_JSON_H_
#define TRANSPORT_INTERNAL_STATUS_JSON_H_

#include <string>

namespace tamaracktrail {

struct CoordinatorStatus;

//! Formats the status of an instance as a JSON object. Thread-safe.
std::string StatusJson(const CoordinatorStatus& status);

}  // namespace tamaracktrail

#endif  // TRANSPORT_INTERNAL_STATUS_JSON_H_
