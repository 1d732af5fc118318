#ifndef STATE_ORDER_H_
#define STATE_ORDER_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! A placement order to an endpoint, recorded before it is sent.
struct Order {
  std::string data_centre;
  uint64_t fencing_number = 0;
  std::string endpoint;
  //! "load", "unload" or "role".
  std::string action;
  //! Model, adapter, version or role that the action applies to.
  std::string target;

  friend bool operator==(const Order&, const Order&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(data_centre, fencing_number, endpoint, action, target);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_ORDER_H_
