#ifndef CLI_SETTING_DEF_H_
#define CLI_SETTING_DEF_H_

#include <cstdint>
#include <span>

namespace tamaracktrail {

//! Describes one key of the settings file. Immutable.
struct SettingDef {
  enum class Kind { kText, kAddress, kUrl, kFile, kList, kInteger, kNumber };

  const char* section = "";
  const char* key = "";
  Kind kind = Kind::kText;
  bool required = false;
  double default_value = 0;  //!< For kInteger and kNumber.
  double min = 0;
  double max = 0;
  const char* description = "";
};

//! All keys of the settings file, grouped by section. Thread-safe.
std::span<const SettingDef> AllSettings();

}  // namespace tamaracktrail

#endif  // CLI_SETTING_DEF_H_
