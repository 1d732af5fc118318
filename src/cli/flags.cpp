#include "cli/flags.h"

#include "absl/flags/flag.h"

ABSL_FLAG(std::string, settings, "", "Settings file of the instance.");
ABSL_FLAG(uint64_t, base, 0, "Version that the configuration is based on.");
ABSL_FLAG(bool, dry_run, false, "Show what would change; append nothing.");
ABSL_FLAG(bool, json, false, "Print JSON.");
ABSL_FLAG(std::string, id, "", "Makes repeating the command safe.");
ABSL_FLAG(std::string, author, "", "Who orders the change, for the audit.");
ABSL_FLAG(std::string, folder, "", "Folder of the exported log.");
ABSL_FLAG(std::string, at, "", "Caller address IP:port of an instance.");
ABSL_FLAG(std::string, salt, "", "Salt of a key hash.");
ABSL_FLAG(int64_t, timeout_ms, 10000, "Longest wait for the log.");
