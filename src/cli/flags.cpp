#include "cli/flags.h"

#include "absl/flags/flag.h"

ABSL_FLAG(std::string, settings, "", "Settings file of the instance.");
ABSL_FLAG(uint64_t,
          base,
          0,
          "Configuration version that the change is based on.");
ABSL_FLAG(bool, dry_run, false, "Print what would change and append nothing.");
ABSL_FLAG(bool, json, false, "Print JSON.");
ABSL_FLAG(std::string,
          id,
          "",
          "Idempotency id; repeats with the same id have no effect.");
ABSL_FLAG(std::string, author, "", "Author of the change, for the audit.");
ABSL_FLAG(std::string, folder, "", "Folder of the exported log.");
ABSL_FLAG(std::string, at, "", "IP:port on which an instance serves callers.");
ABSL_FLAG(std::string, salt, "", "Salt of a key hash.");
ABSL_FLAG(std::string,
          against,
          "",
          "Configuration to compare with, such as the one in force.");
ABSL_FLAG(int64_t,
          timeout_ms,
          10000,
          "Longest wait for the log to confirm a record.");
