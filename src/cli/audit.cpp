#include "cli/audit.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "cli/log_session.h"
#include "cli/record_text.h"
#include "coordination/ledger_shard.h"
#include "state/control_fold.h"
#include "state/digest.h"
#include "state/ledger_fold.h"
#include "state/stream_view.h"

namespace tamaracktrail {

namespace {

namespace fs = std::filesystem;
using nlohmann::json;

const char kControlStream[] = "control";
const char kExportSuffix[] = ".jsonl";

using OnEntry = std::function<absl::Status(const LogEntry&)>;

absl::Status ForEachEntry(const fs::path& path, const OnEntry& on_entry) {
  std::ifstream in(path);
  std::string line;
  uint64_t line_number = 0;
  while (std::getline(in, line)) {
    ++line_number;
    const json parsed = json::parse(line, nullptr, false);
    LogEntry entry;
    const bool ok =
        parsed.is_object() && parsed.contains("offset") &&
        parsed["offset"].is_number_unsigned() && parsed.contains("data") &&
        parsed["data"].is_string() &&
        absl::Base64Unescape(parsed["data"].get<std::string>(), &entry.payload);
    if (!ok) {
      return absl::DataLossError(absl::StrCat(path.filename().string(), ":",
                                              line_number,
                                              ": not an exported log entry"));
    }
    entry.offset = parsed["offset"].get<uint64_t>();
    if (absl::Status status = on_entry(entry); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<uint64_t> LastOffset(const fs::path& path) {
  uint64_t last = 0;
  const absl::Status status = ForEachEntry(path, [&](const LogEntry& it) {
    last = it.offset;
    return absl::OkStatus();
  });
  if (!status.ok()) {
    return status;
  }
  return last;
}

std::vector<fs::path> ExportedStreams(const std::string& folder) {
  std::vector<fs::path> paths;
  std::error_code ec;
  for (const auto& it : fs::directory_iterator(folder, ec)) {
    if (it.path().extension() == kExportSuffix) {
      paths.push_back(it.path());
    }
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

//! Folds one exported stream and reports inconsistencies.
template <FoldModel Fold>
class StreamAudit {
 public:
  using OnBatch = std::function<void(const AppliedBatch&)>;

  StreamAudit(std::string name, const BatchCodec& codec, Fold fold)
      : name_(std::move(name)), view_(&codec, std::move(fold)) {}

  absl::Status Run(const fs::path& path,
                   const OnBatch& on_batch,
                   AuditReport& report) {
    ++report.streams;
    absl::Status status = ForEachEntry(path, [&](const LogEntry& entry) {
      CheckEntry(entry, report);
      const uint64_t dropped_before = view_.dropped_batches();
      for (const AppliedBatch& it : view_.Feed(entry)) {
        ++report.batches;
        report.records += it.batch.records.size();
        CountCharges(it, report);
        on_batch(it);
      }
      if (view_.dropped_batches() > dropped_before) {
        AddFault(
            entry,
            "was dropped: wrong HMAC, malformed, or not next in its writer's "
            "hash chain",
            report);
      }
      return absl::OkStatus();
    });
    report.repeated_batches += view_.repeated_batches();
    if (status.ok() && !view_.live()) {
      report.faults.push_back(absl::StrCat(
          name_, ": entries are missing and no snapshot replaces them"));
    }
    return status;
  }

  const Fold& fold() const { return view_.fold(); }

 private:
  void CheckEntry(const LogEntry& entry, AuditReport& report) {
    if (last_offset_ != 0 && entry.offset != last_offset_ + 1) {
      AddFault(
          entry,
          absl::StrCat("is not contiguous: it follows offset ", last_offset_),
          report);
    }
    last_offset_ = std::max(last_offset_, entry.offset);
  }

  void CountCharges(const AppliedBatch& batch, AuditReport& report) {
    for (size_t i = 0; i < batch.verdicts.size(); ++i) {
      const auto* charge = std::get_if<Charge>(&batch.batch.records[i]);
      if (charge == nullptr) {
        continue;
      }
      if (batch.verdicts[i] == FoldVerdict::kRepeat) {
        ++report.void_charges;
      }
      if (batch.verdicts[i] == FoldVerdict::kExceedsShare) {
        report.faults.push_back(absl::StrCat(name_, ": offset ", batch.offset,
                                             ": charge of key ", charge->key,
                                             " exceeds its holder's share"));
      }
    }
  }

  void AddFault(const LogEntry& entry,
                const std::string& what,
                AuditReport& report) {
    report.faults.push_back(
        absl::StrCat(name_, ": offset ", entry.offset, " ", what));
  }

  std::string name_;
  StreamView<Fold> view_;
  uint64_t last_offset_ = 0;
};

using OnStreamBatch =
    std::function<void(const std::string&, const AppliedBatch&)>;

absl::StatusOr<AuditReport> AuditExport(const std::string& folder,
                                        const BatchCodec& codec,
                                        int64_t key_window_ms,
                                        const OnStreamBatch& on_batch) {
  AuditReport report;
  const std::vector<fs::path> paths = ExportedStreams(folder);
  if (paths.empty()) {
    return absl::NotFoundError(absl::StrCat(folder, ": no exported streams"));
  }
  for (const fs::path& path : paths) {
    const std::string name = path.stem();
    const auto on_stream_batch = [&](const AppliedBatch& it) {
      on_batch(name, it);
    };
    absl::Status status;
    if (name == kControlStream) {
      StreamAudit<ControlFold> audit(name, codec, ControlFold());
      status = audit.Run(path, on_stream_batch, report);
    } else {
      StreamAudit<LedgerFold> audit(name, codec,
                                    LedgerFold(Millis(key_window_ms)));
      status = audit.Run(path, on_stream_batch, report);
      for (const auto& [organisation, budget] : audit.fold().budgets()) {
        budget.CheckInvariant();
        report.budgets[organisation] = budget;
      }
    }
    if (!status.ok()) {
      report.faults.emplace_back(status.message());
    }
  }
  return report;
}

}  // namespace

absl::StatusOr<uint64_t> ExportLog(LogSession& session,
                                   uint32_t shards,
                                   const std::string& folder) {
  std::error_code ec;
  fs::create_directories(folder, ec);
  std::vector<std::string> streams{kControlStream};
  for (uint32_t i = 0; i < shards; ++i) {
    streams.push_back(LedgerShard::StreamName(i));
  }
  uint64_t exported = 0;
  for (const std::string& stream : streams) {
    const fs::path path = fs::path(folder) / (stream + kExportSuffix);
    absl::StatusOr<uint64_t> last = LastOffset(path);
    if (!last.ok()) {
      return last.status();
    }
    uint64_t next = *last + 1;
    std::ofstream out(path, std::ios::app);
    while (true) {
      absl::StatusOr<LogPage> page = session.Read(stream, next, Millis());
      if (!page.ok()) {
        return page.status();
      }
      for (const LogEntry& it : page->entries) {
        out << json{{"offset", it.offset},
                    {"data", absl::Base64Escape(it.payload)}}
                   .dump()
            << "\n";
        next = it.offset + 1;
        ++exported;
      }
      if (page->entries.empty()) {
        break;
      }
    }
    if (!out.flush()) {
      return absl::UnavailableError(path.string() + ": cannot be written");
    }
  }
  return exported;
}

absl::StatusOr<AuditReport> VerifyExport(const std::string& folder,
                                         const BatchCodec& codec,
                                         int64_t key_window_ms) {
  return AuditExport(folder, codec, key_window_ms,
                     [](const std::string&, const AppliedBatch&) {});
}

absl::StatusOr<std::vector<std::string>> ExplainKey(const std::string& folder,
                                                    const BatchCodec& codec,
                                                    int64_t key_window_ms,
                                                    const std::string& key) {
  std::vector<std::pair<Millis, std::string>> found;
  const absl::StatusOr<AuditReport> report = AuditExport(
      folder, codec, key_window_ms,
      [&](const std::string& stream, const AppliedBatch& it) {
        for (size_t i = 0; i < it.batch.records.size(); ++i) {
          if (RecordKey(it.batch.records[i]) != key) {
            continue;
          }
          found.emplace_back(
              it.batch.wall,
              absl::StrCat(TimeText(it.batch.wall), " ", stream, "@", it.offset,
                           " writer=", Hex(it.batch.writer), " ",
                           RecordText(it.batch.records[i]),
                           " verdict=", FoldVerdictName(it.verdicts[i])));
        }
      });
  if (!report.ok()) {
    return report.status();
  }
  std::stable_sort(
      found.begin(), found.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<std::string> lines;
  for (auto& [wall, line] : found) {
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace tamaracktrail
