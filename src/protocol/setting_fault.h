#ifndef PROTOCOL_SETTING_FAULT_H_
#define PROTOCOL_SETTING_FAULT_H_

#include <string>

namespace tamaracktrail {

//! One fault in a settings or declarations file.
struct SettingFault {
  std::string file;
  std::string section;
  std::string key;
  std::string read;     //!< What the file says.
  std::string allowed;  //!< What it may say.

  friend bool operator==(const SettingFault&, const SettingFault&) = default;

  //! One line for people.
  std::string ToString() const;
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_SETTING_FAULT_H_
