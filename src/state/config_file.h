#ifndef STATE_CONFIG_FILE_H_
#define STATE_CONFIG_FILE_H_

#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! A declaration file of a configuration.
struct ConfigFile {
  //! Path that starts with the name of the published folder.
  std::string path;
  std::string text;

  friend bool operator==(const ConfigFile&, const ConfigFile&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(path, text);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_CONFIG_FILE_H_
