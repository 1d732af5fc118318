#ifndef CLI_AUDIT_H_
#define CLI_AUDIT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "state/budget.h"

namespace tamaracktrail {

class BatchCodec;
class LogSession;

//! What a check of exported records found.
struct AuditReport {
  uint64_t streams = 0;
  uint64_t batches = 0;
  uint64_t records = 0;
  uint64_t repeated_batches = 0;  //!< Appends whose answer was lost.
  uint64_t void_charges = 0;      //!< Charges of a key that was billed already.
  std::vector<std::string> faults;  //!< One line each; empty where all is well.
  std::map<std::string, Budget> budgets;  //!< By organisation.
};

//! Copies each stream of the log to FOLDER/STREAM.jsonl, going on where an
//! earlier export ended. Returns the number of new entries.
absl::StatusOr<uint64_t> ExportLog(LogSession& session,
                                   uint32_t shards,
                                   const std::string& folder);

//! Checks an export from the records alone: tags, hash chains, gaps, and every
//! balance, which it folds anew.
absl::StatusOr<AuditReport> VerifyExport(const std::string& folder,
                                         const BatchCodec& codec,
                                         int64_t key_window_ms);

//! All records about a request key, with what each came to, in time order.
absl::StatusOr<std::vector<std::string>> ExplainKey(const std::string& folder,
                                                    const BatchCodec& codec,
                                                    int64_t key_window_ms,
                                                    const std::string& key);

}  // namespace tamaracktrail

#endif  // CLI_AUDIT_H_
