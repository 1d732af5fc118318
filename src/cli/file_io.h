#ifndef CLI_FILE_IO_H_
#define CLI_FILE_IO_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "state/config_file.h"

namespace tamaracktrail {

//! Contents of a file. Errors: kNotFound with the system's reason.
absl::StatusOr<std::string> ReadFile(const std::string& path);

//! All files with the suffix .ini in a folder and its subfolders, sorted by
//! path. The paths are relative to the folder. Errors: kNotFound with the
//! system's reason.
absl::StatusOr<std::vector<ConfigFile>> ReadDeclarations(
    const std::string& folder);

}  // namespace tamaracktrail

#endif  // CLI_FILE_IO_H_
