#ifndef TRANSPORT_PLATFORM_SERVICES_H_
#define TRANSPORT_PLATFORM_SERVICES_H_

#include <concepts>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace tamaracktrail {

//! One instance on the platform's list.
struct ListedInstance {
  std::string address;
  std::string data_centre;
  bool draining = false;

  friend bool operator==(const ListedInstance&,
                         const ListedInstance&) = default;
};

using ListDone =
    std::function<void(absl::StatusOr<std::vector<ListedInstance>>)>;

//! The platform's list of instances. It may be out of date, miss instances and
//! contain instances that have exited.
template <class L>
concept InstanceList = requires(L list, ListDone done) {
  list.Fetch(done);
};

using WeightsDone =
    std::function<void(absl::StatusOr<std::vector<std::string>>)>;

//! The platform's weight store: lists the models, adapters and versions that it
//! holds.
template <class W>
concept WeightStore = requires(W store, WeightsDone done) {
  store.List(done);
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_PLATFORM_SERVICES_H_
