#include <csignal>
#include <iostream>
#include <optional>
#include <random>

#include <nlohmann/json.hpp>

#include <glog/logging.h>

#include "absl/flags/flag.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "cli/audit.h"
#include "cli/command.h"
#include "cli/file_io.h"
#include "cli/flags.h"
#include "cli/instance.h"
#include "cli/log_session.h"
#include "cli/publication.h"
#include "cli/server_process.h"
#include "cli/settings.h"
#include "cli/simple_get.h"
#include "coordination/catalog.h"
#include "coordination/ledger_shard.h"
#include "state/control_fold.h"
#include "state/digest.h"
#include "state/ledger_fold.h"

namespace tamaracktrail {

namespace {

using Arguments = Command::Arguments;

void PrintFaults(const std::vector<SettingFault>& faults) {
  for (const SettingFault& it : faults) {
    std::cerr << it.ToString() << "\n";
  }
}

std::optional<Settings> ReadSettings() {
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    std::cerr << "--settings FILE is required\n";
    return std::nullopt;
  }
  std::vector<SettingFault> faults;
  Settings settings = Settings::Read(path, &faults);
  PrintFaults(faults);
  return faults.empty() ? std::optional(std::move(settings)) : std::nullopt;
}

LogSession MakeSession(const Settings& settings) {
  return LogSession(settings.Text("platform", "log_url"), settings.fleet_key());
}

Millis Deadline() {
  return MonotonicNow() + Millis(absl::GetFlag(FLAGS_timeout_ms));
}

ExitCode Fail(const absl::Status& status) {
  std::cerr << status.message() << "\n";
  return absl::IsDeadlineExceeded(status) ? ExitCode::kUnconfirmed
                                          : ExitCode::kFailed;
}

std::string RandomId() {
  std::random_device device;
  return Hex(uint64_t{device()} << 32 | device());
}

ExitCode RunServe(const Arguments&) {
  SetUpServerProcess();
  const std::optional<Settings> settings = ReadSettings();
  if (!settings.has_value()) {
    return ExitCode::kBadInput;
  }
  // Blocked before the tasks start their threads, so that only sigwait gets
  // the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Instance instance(*settings);
  if (absl::Status status = instance.Start(); !status.ok()) {
    return Fail(status);
  }
  int signal = 0;
  sigwait(&signals, &signal);
  return instance.Shutdown().ok() ? ExitCode::kOk : ExitCode::kUncleanShutdown;
}

ExitCode RunCheck(const Arguments& arguments) {
  std::vector<SettingFault> faults;
  std::vector<ConfigFile> declarations;
  for (const std::string& path : arguments) {
    const absl::StatusOr<std::string> text = ReadFile(path);
    if (!text.ok()) {
      faults.push_back({path, "", "", std::string(text.status().message()),
                        "a readable file"});
      // Only settings files have a section [instance].
    } else if (text->find("[instance]") != std::string::npos) {
      Settings::Parse(path, *text, &faults);
    } else {
      declarations.push_back({path, *text});
    }
  }
  ParseCatalog(/*version=*/0, declarations, &faults);
  PrintFaults(faults);
  if (!faults.empty()) {
    return ExitCode::kBadInput;
  }
  std::cout << "ok\n";
  return ExitCode::kOk;
}

ExitCode RunPublish(const Arguments& folders) {
  const std::optional<Settings> settings = ReadSettings();
  if (!settings.has_value()) {
    return ExitCode::kBadInput;
  }
  std::vector<SettingFault> faults;
  const Configuration next = CollectDeclarations(
      folders, absl::GetFlag(FLAGS_base), absl::GetFlag(FLAGS_id), &faults);
  PrintFaults(faults);
  if (!faults.empty()) {
    return ExitCode::kBadInput;
  }
  LogSession session = MakeSession(*settings);
  StreamView<ControlFold> view(session.codec(), ControlFold());
  if (absl::Status status = session.CatchUp("control", view); !status.ok()) {
    return Fail(status);
  }
  if (absl::GetFlag(FLAGS_dry_run)) {
    std::cout << "live version " << view.fold().version() << "\n";
    for (const std::string& it :
         DiffFiles(view.fold().configuration().files, next.files)) {
      std::cout << it << "\n";
    }
    return ExitCode::kOk;
  }
  // An earlier publication with this id may have been accepted although its
  // answer was lost.
  if (const auto version = view.fold().VersionOf(next.id)) {
    std::cout << *version << "\n";
    return ExitCode::kOk;
  }
  Configuration record = next;
  record.author = absl::GetFlag(FLAGS_author);
  const auto appended =
      session.AppendAndReadBack("control", view, record, Deadline());
  if (!appended.ok()) {
    std::cerr << "outcome unknown; repeat the command with --id " << next.id
              << "\n";
    return Fail(appended.status());
  }
  if (const auto version = view.fold().VersionOf(next.id)) {
    std::cout << *version << "\n";
    return ExitCode::kOk;
  }
  std::cerr << "conflict: version " << view.fold().version()
            << " was published first; rebase on it\n";
  return ExitCode::kConflict;
}

ExitCode RunTopUp(const Arguments& arguments) {
  const std::optional<Settings> settings = ReadSettings();
  int64_t tokens = 0;
  const std::string id = absl::GetFlag(FLAGS_id);
  const bool valid = absl::SimpleAtoi(arguments[1], &tokens) && tokens > 0;
  if (!valid || id.empty()) {
    std::cerr << "AMOUNT must be a positive integer, and --id is required\n";
    return ExitCode::kBadInput;
  }
  if (!settings.has_value()) {
    return ExitCode::kBadInput;
  }
  const auto shards =
      static_cast<uint64_t>(settings->Number("fleet", "ledger_shards"));
  const std::string stream = LedgerShard::StreamName(
      static_cast<uint32_t>(StableHash(arguments[0]) % shards));
  LogSession session = MakeSession(*settings);
  StreamView<LedgerFold> view(session.codec(), LedgerFold(settings->Duration(
                                                   "fleet", "key_window_ms")));
  if (absl::Status status = session.CatchUp(stream, view); !status.ok()) {
    return Fail(status);
  }
  const auto appended = session.AppendAndReadBack(
      stream, view,
      TopUp{arguments[0], id, tokens, absl::GetFlag(FLAGS_author)}, Deadline());
  if (!appended.ok()) {
    return Fail(appended.status());
  }
  const Budget& budget = view.fold().BudgetOf(arguments[0]);
  std::cout << FoldVerdictName(appended->verdict)
            << " prepaid=" << budget.prepaid << " charged=" << budget.charged
            << "\n";
  return ExitCode::kOk;
}

ExitCode RunStatus(const Arguments&) {
  const std::string at = absl::GetFlag(FLAGS_at);
  const absl::StatusOr<std::string> body =
      SimpleGet("http://" + at + "/status");
  if (!body.ok()) {
    return Fail(body.status());
  }
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << *body << "\n";
    return ExitCode::kOk;
  }
  const auto status = nlohmann::json::parse(*body, nullptr, false);
  if (!status.is_object()) {
    return Fail(absl::DataLossError("the answer is not a JSON object"));
  }
  for (const auto& [key, value] : status.items()) {
    if (!value.is_array()) {
      std::cout << key << "=" << value.dump() << "\n";
    }
  }
  for (const auto& it : status.value("peers", nlohmann::json::array())) {
    std::cout << "peer " << it.dump() << "\n";
  }
  for (const auto& it : status.value("shards", nlohmann::json::array())) {
    std::cout << "shard " << it.dump() << "\n";
  }
  return ExitCode::kOk;
}

ExitCode RunExport(const Settings& settings, const std::string& folder) {
  LogSession session = MakeSession(settings);
  const auto shards =
      static_cast<uint32_t>(settings.Number("fleet", "ledger_shards"));
  const absl::StatusOr<uint64_t> n = ExportLog(session, shards, folder);
  if (!n.ok()) {
    return Fail(n.status());
  }
  std::cout << "exported " << *n << " entries\n";
  return ExitCode::kOk;
}

ExitCode RunVerify(const Settings& settings, const std::string& folder) {
  const BatchCodec codec(settings.fleet_key());
  const absl::StatusOr<AuditReport> report = VerifyExport(
      folder, codec, settings.Duration("fleet", "key_window_ms").count());
  if (!report.ok()) {
    return Fail(report.status());
  }
  for (const std::string& it : report->faults) {
    std::cout << "fault " << it << "\n";
  }
  for (const auto& [organisation, budget] : report->budgets) {
    std::cout << "budget organisation=" << organisation
              << " prepaid=" << budget.prepaid << " charged=" << budget.charged
              << " undrawn=" << budget.undrawn
              << " shares=" << budget.prepaid - budget.charged - budget.undrawn
              << "\n";
  }
  std::cout << "streams=" << report->streams << " batches=" << report->batches
            << " records=" << report->records
            << " repeated_batches=" << report->repeated_batches
            << " void_charges=" << report->void_charges
            << " faults=" << report->faults.size() << "\n";
  return report->faults.empty() ? ExitCode::kOk : ExitCode::kAuditFailed;
}

ExitCode RunExplain(const Settings& settings,
                    const std::string& folder,
                    const std::string& key) {
  const BatchCodec codec(settings.fleet_key());
  const auto lines = ExplainKey(
      folder, codec, settings.Duration("fleet", "key_window_ms").count(), key);
  if (!lines.ok()) {
    return Fail(lines.status());
  }
  for (const std::string& it : *lines) {
    std::cout << it << "\n";
  }
  return lines->empty() ? ExitCode::kFailed : ExitCode::kOk;
}

ExitCode RunAudit(const Arguments& arguments) {
  const std::optional<Settings> settings = ReadSettings();
  const std::string folder = absl::GetFlag(FLAGS_folder);
  if (!settings.has_value() || folder.empty()) {
    std::cerr << "a valid --settings FILE and --folder FOLDER are required\n";
    return ExitCode::kBadInput;
  }
  if (arguments[0] == "export" && arguments.size() == 1) {
    return RunExport(*settings, folder);
  }
  if (arguments[0] == "verify" && arguments.size() == 1) {
    return RunVerify(*settings, folder);
  }
  if (arguments[0] == "explain" && arguments.size() == 2) {
    return RunExplain(*settings, folder, arguments[1]);
  }
  std::cerr << "expected audit export, audit verify or audit explain KEY\n";
  return ExitCode::kBadInput;
}

ExitCode RunRelease(const Arguments& arguments) {
  const std::optional<Settings> settings = ReadSettings();
  uint64_t incarnation = 0;
  if (!settings.has_value() ||
      !absl::SimpleHexAtoi(arguments[0], &incarnation)) {
    std::cerr
        << "a valid --settings FILE is required, and INCARNATION must be a "
           "hexadecimal number as printed by status\n";
    return ExitCode::kBadInput;
  }
  const std::string author = absl::GetFlag(FLAGS_author);
  if (author.empty()) {
    std::cerr << "--author is required\n";
    return ExitCode::kBadInput;
  }
  LogSession session = MakeSession(*settings);
  const std::string evidence = "released by operator " + author;
  StreamView<ControlFold> control(session.codec(), ControlFold());
  if (absl::Status status = session.CatchUp("control", control); !status.ok()) {
    return Fail(status);
  }
  const auto exit = session.AppendAndReadBack(
      "control", control, Exit{incarnation, evidence}, Deadline());
  if (!exit.ok()) {
    return Fail(exit.status());
  }
  const auto shards =
      static_cast<uint32_t>(settings->Number("fleet", "ledger_shards"));
  for (uint32_t i = 0; i < shards; ++i) {
    const std::string stream = LedgerShard::StreamName(i);
    StreamView<LedgerFold> view(
        session.codec(),
        LedgerFold(settings->Duration("fleet", "key_window_ms")));
    absl::Status status = session.CatchUp(stream, view);
    if (!status.ok()) {
      return Fail(status);
    }
    const auto released = session.AppendAndReadBack(
        stream, view, Release{incarnation, evidence, {}}, Deadline());
    if (!released.ok()) {
      return Fail(released.status());
    }
  }
  std::cout << "released " << Hex(incarnation) << "\n";
  return ExitCode::kOk;
}

ExitCode RunHashKey(const Arguments& arguments) {
  const std::string salt = absl::GetFlag(FLAGS_salt);
  std::cout << HashKey(salt.empty() ? RandomId() : salt, arguments[0]) << "\n";
  return ExitCode::kOk;
}

//! For commands that take a list of files or folders.
constexpr size_t kMaxArguments = 1000;

constexpr Command kCommands[] = {
    {"serve", "serve --settings FILE",
     "Runs an instance until SIGTERM or SIGINT, then shuts down gracefully.", 0,
     0, RunServe},
    {"check", "check FILE...",
     "Checks settings and declarations without starting an instance.", 1,
     kMaxArguments, RunCheck},
    {"publish",
     "publish --settings FILE --base VERSION [--id ID] [--author WHO] "
     "[--dry_run] FOLDER...",
     "Publishes the .ini files below the folders as one configuration and "
     "prints its version, or the conflict and the version to rebase on.",
     1, kMaxArguments, RunPublish},
    {"topup",
     "topup --settings FILE --id ID [--author WHO] ORGANISATION AMOUNT",
     "Adds prepaid tokens. Repeating the command with the same id has no "
     "further effect.",
     2, 2, RunTopUp},
    {"status", "status --at IP:PORT [--json]",
     "Prints the status of an instance and what it knows of its peers.", 0, 0,
     RunStatus},
    {"audit", "audit export|verify|explain KEY --settings FILE --folder FOLDER",
     "Exports the log, checks an export without access to the log, or prints "
     "all records of a request key.",
     1, 2, RunAudit},
    {"release", "release --settings FILE --author WHO INCARNATION",
     "Records that an instance has exited for good and releases its shares. "
     "Use it only if the instance is known not to run.",
     1, 1, RunRelease},
    {"hash-key", "hash-key [--salt SALT] SECRET",
     "Prints the hash of a caller's secret for key_hashes.", 1, 1, RunHashKey},
};

}  // namespace

std::span<const Command> AllCommands() {
  return kCommands;
}

}  // namespace tamaracktrail
