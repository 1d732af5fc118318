#ifndef PROTOCOL_SETTING_FAULT_H_
#define PROTOCOL_SETTING_FAULT_H_

#include <string>

namespace tamaracktrail {

//! One fault in a settings or declarations file.
struct SettingFault {
  std::string file;
  std::string section;
  std::string key;
  //! Value found in the file, an unknown key, or the reason why the file can't
  //! be read.
  std::string read;
  std::string allowed;  //!< Description of the valid values.

  friend bool operator==(const SettingFault&, const SettingFault&) = default;

  //! Human-readable text, on one line.
  std::string ToString() const;
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_SETTING_FAULT_H_
