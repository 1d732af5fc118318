#ifndef COORDINATION_PLACEMENT_SPEC_H_
#define COORDINATION_PLACEMENT_SPEC_H_

#include <string>

namespace tamaracktrail {

//! Number of endpoints of a data centre that should have a model, adapter,
//! version or role loaded.
struct PlacementSpec {
  std::string name;
  std::string service;
  std::string data_centre;
  //! Model, adapter or version, or "role:" and the name of a role.
  std::string target;
  int min_copies = 1;
  int max_copies = 1;

  friend bool operator==(const PlacementSpec&, const PlacementSpec&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_PLACEMENT_SPEC_H_
