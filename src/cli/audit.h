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

//! Result of checking an export.
struct AuditReport {
  uint64_t streams = 0;
  uint64_t batches = 0;
  uint64_t records = 0;
  //! Appends that a writer repeated, for example after a lost answer.
  uint64_t repeated_batches = 0;
  uint64_t void_charges = 0;  //!< Charges of keys that were billed already.
  std::vector<std::string> faults;  //!< One line each; empty if consistent.
  std::map<std::string, Budget> budgets;  //!< By organisation.
};

//! Copies each stream of the log to FOLDER/STREAM.jsonl, continuing after the
//! last entry of an earlier export. Returns the number of new entries.
absl::StatusOr<uint64_t> ExportLog(LogSession& session,
                                   uint32_t shards,
                                   const std::string& folder);

//! Checks an export without access to the log: HMACs, hash chains, gaps, and
//! every balance, which it recomputes from the records.
absl::StatusOr<AuditReport> VerifyExport(const std::string& folder,
                                         const BatchCodec& codec,
                                         int64_t key_window_ms);

//! Describes all records of a request key with their verdicts, one line each,
//! ordered by time.
absl::StatusOr<std::vector<std::string>> ExplainKey(const std::string& folder,
                                                    const BatchCodec& codec,
                                                    int64_t key_window_ms,
                                                    const std::string& key);

}  // namespace tamaracktrail

#endif  // CLI_AUDIT_H_
