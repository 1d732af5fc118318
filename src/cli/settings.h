#ifndef CLI_SETTINGS_H_
#define CLI_SETTINGS_H_

#include <map>
#include <string>
#include <vector>

#include "protocol/setting_fault.h"
#include "state/millis.h"
#include "transport/coordination_task.h"
#include "transport/entry_task.h"

namespace tamaracktrail {

//! Validated contents of a settings file. Immutable once read.
class Settings {
 public:
  //! Reads and checks a file and adds everything invalid to `faults`. The
  //! result is only valid if it added none.
  static Settings Read(const std::string& path,
                       std::vector<SettingFault>* faults);

  //! Parses and checks the text of a settings file as Read does. `path` is only
  //! used in faults.
  static Settings Parse(const std::string& path,
                        const std::string& text,
                        std::vector<SettingFault>* faults);

  std::string Text(const std::string& section, const std::string& key) const;
  double Number(const std::string& section, const std::string& key) const;
  Millis Duration(const std::string& section, const std::string& key) const;
  std::vector<std::string> List(const std::string& section,
                                const std::string& key) const;

  //! The fleet's shared key, read from fleet.key_file.
  const std::string& fleet_key() const { return fleet_key_; }

  //! Options of the tasks of an instance with this incarnation.
  CoordinationTask::Options CoordinationOptions(uint64_t incarnation) const;
  EntryTask::Options EntryOptions(uint64_t incarnation) const;

 private:
  std::map<std::string, std::string> texts_;
  std::map<std::string, double> numbers_;
  std::map<std::string, std::vector<std::string>> lists_;
  std::string fleet_key_;
};

}  // namespace tamaracktrail

#endif  // CLI_SETTINGS_H_
