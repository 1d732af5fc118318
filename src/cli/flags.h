#ifndef CLI_FLAGS_H_
#define CLI_FLAGS_H_

#include <cstdint>
#include <string>

#include "absl/flags/declare.h"

ABSL_DECLARE_FLAG(std::string, settings);
ABSL_DECLARE_FLAG(uint64_t, base);
ABSL_DECLARE_FLAG(bool, dry_run);
ABSL_DECLARE_FLAG(bool, json);
ABSL_DECLARE_FLAG(std::string, id);
ABSL_DECLARE_FLAG(std::string, author);
ABSL_DECLARE_FLAG(std::string, folder);
ABSL_DECLARE_FLAG(std::string, at);
ABSL_DECLARE_FLAG(std::string, salt);
ABSL_DECLARE_FLAG(std::string, against);
ABSL_DECLARE_FLAG(int64_t, timeout_ms);

#endif  // CLI_FLAGS_H_
