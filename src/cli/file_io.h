#ifndef CLI_FILE_IO_H_
#define CLI_FILE_IO_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "state/config_file.h"

namespace tamaracktrail {

//! Contents of a file. kNotFound with the system's reason.
absl::StatusOr<std::string> ReadFile(const std::string& path);

//! All files with the suffix .ini below a folder, by path, with paths relative
//! to it.
absl::StatusOr<std::vector<ConfigFile>> ReadDeclarations(
    const std::string& folder);

}  // namespace tamaracktrail

#endif  // CLI_FILE_IO_H_
