#ifndef CLI_PUBLICATION_H_
#define CLI_PUBLICATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/setting_fault.h"
#include "state/configuration.h"

namespace tamaracktrail {

//! Collects and checks the declarations in `folders`. An empty `id` is replaced
//! by one derived from the contents and the base, so that a repeated
//! publication is recognized.
Configuration CollectDeclarations(const std::vector<std::string>& folders,
                                  uint64_t base,
                                  const std::string& id,
                                  std::vector<SettingFault>* faults);

//! Lines that list the removed, changed and added files, and for a changed file
//! the lines that were removed and added.
std::vector<std::string> DiffFiles(const std::vector<ConfigFile>& before,
                                   const std::vector<ConfigFile>& after);

}  // namespace tamaracktrail

#endif  // CLI_PUBLICATION_H_
