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

//! The checked contents of a settings file. Immutable once read.
class Settings {
 public:
  //! Reads and checks a file; adds all that is wrong to `faults`. The result
  //! counts only where it added none.
  static Settings Read(const std::string& path,
                       std::vector<SettingFault>* faults);

  //! Checks the text of a settings file. `path` is for faults only.
  static Settings Parse(const std::string& path,
                        const std::string& text,
                        std::vector<SettingFault>* faults);

  std::string Text(const std::string& section, const std::string& key) const;
  double Number(const std::string& section, const std::string& key) const;
  Millis Duration(const std::string& section, const std::string& key) const;
  std::vector<std::string> List(const std::string& section,
                                const std::string& key) const;

  //! The fleet's shared key, read from its file.
  const std::string& fleet_key() const { return fleet_key_; }

  //! Options for an instance with this incarnation.
  CoordinationTask::Options Coordination(uint64_t incarnation) const;
  EntryTask::Options Entry(uint64_t incarnation) const;

 private:
  std::map<std::string, std::string> texts_;
  std::map<std::string, double> numbers_;
  std::map<std::string, std::vector<std::string>> lists_;
  std::string fleet_key_;
};

}  // namespace tamaracktrail

#endif  // CLI_SETTINGS_H_
