#ifndef STATE_CONFIGURATION_H_
#define STATE_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "state/config_file.h"

namespace tamaracktrail {

//! A published set of declarations. Accepted only if `base` is the version in
//! force (optimistic concurrency control).
struct Configuration {
  //! Version that the publisher's changes are based on; 0 for none.
  uint64_t base = 0;
  //! Identifies repeated appends of the same configuration.
  std::string id;
  std::string author;
  std::vector<ConfigFile> files;

  friend bool operator==(const Configuration&, const Configuration&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(base, id, author, files);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_CONFIGURATION_H_
