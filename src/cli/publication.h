#ifndef CLI_PUBLICATION_H_
#define CLI_PUBLICATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/setting_fault.h"
#include "state/configuration.h"

namespace tamaracktrail {

//! Collects and checks the declarations below `folders`. Where `id` is empty it
//! is derived from the contents and the base, so that repeating the same
//! publication is recognized.
Configuration CollectDeclarations(const std::vector<std::string>& folders,
                                  uint64_t base,
                                  const std::string& id,
                                  std::vector<SettingFault>* faults);

//! Lines that tell what `after` changes: added, removed and changed files.
std::vector<std::string> DifferenceOf(const std::vector<ConfigFile>& before,
                                      const std::vector<ConfigFile>& after);

}  // namespace tamaracktrail

#endif  // CLI_PUBLICATION_H_
