#include "cli/settings.h"

#include <glib.h>

#include "absl/strings/ascii.h"
#include "cli/file_io.h"
#include "cli/setting_def.h"
#include "protocol/ini_reader.h"

namespace tamaracktrail {

namespace {

constexpr size_t kMinKeyBytes = 16;

std::string QualifiedKey(const std::string& section, const std::string& key) {
  return section + "." + key;
}

bool IsHttpUrl(const std::string& text) {
  GUri* uri = g_uri_parse(text.c_str(), G_URI_FLAGS_NONE, nullptr);
  if (uri == nullptr) {
    return false;
  }
  const std::string scheme = g_uri_get_scheme(uri);
  g_uri_unref(uri);
  return (scheme == "http" || scheme == "https") && !text.ends_with("/");
}

//! Returns nullptr if `text` is valid for `kind`, else a description of the
//! valid values.
const char* ExplainIfInvalid(SettingDef::Kind kind, const std::string& text) {
  switch (kind) {
    case SettingDef::Kind::kAddress:
      return IsAddress(text) ? nullptr : "IP:port with a numeric IP";
    case SettingDef::Kind::kUrl:
      return IsHttpUrl(text) ? nullptr
                             : "an http or https URL without a trailing /";
    case SettingDef::Kind::kFile:
      return ReadFile(text).ok() ? nullptr : "a readable file";
    default:
      return text.empty() ? "a non-empty value" : nullptr;
  }
}

}  // namespace

Settings Settings::Read(const std::string& path,
                        std::vector<SettingFault>* faults) {
  const absl::StatusOr<std::string> text = ReadFile(path);
  if (!text.ok()) {
    faults->push_back({path, "", "", std::string(text.status().message()),
                       "a readable file"});
    return Settings();
  }
  return Parse(path, *text, faults);
}

Settings Settings::Parse(const std::string& path,
                         const std::string& text,
                         std::vector<SettingFault>* faults) {
  Settings out;
  IniReader reader(path, text, faults);
  for (const SettingDef& def : AllSettings()) {
    const std::string name = QualifiedKey(def.section, def.key);
    switch (def.kind) {
      case SettingDef::Kind::kInteger:
        out.numbers_[name] = static_cast<double>(reader.Integer(
            def.section, def.key, static_cast<int64_t>(def.default_value),
            static_cast<int64_t>(def.min), static_cast<int64_t>(def.max)));
        continue;
      case SettingDef::Kind::kNumber:
        out.numbers_[name] = reader.Number(def.section, def.key,
                                           def.default_value, def.min, def.max);
        continue;
      case SettingDef::Kind::kList:
        out.lists_[name] = reader.List(def.section, def.key);
        for (const std::string& it : out.lists_[name]) {
          if (!IsAddress(it)) {
            reader.AddFault(def.section, def.key, it, "IP:port;IP:port;...");
          }
        }
        continue;
      default:
        break;
    }
    const auto value = reader.String(def.section, def.key, def.required);
    if (!value.has_value()) {
      continue;
    }
    if (const char* allowed = ExplainIfInvalid(def.kind, *value)) {
      reader.AddFault(def.section, def.key, *value, allowed);
    }
    out.texts_[name] = *value;
  }
  const bool one_missing = out.Text("tls", "certificate").empty() !=
                           out.Text("tls", "private_key").empty();
  if (one_missing) {
    reader.AddFault("tls", "", "", "certificate and private_key, or neither");
  }
  const std::string key_file = out.Text("fleet", "key_file");
  if (const auto key = ReadFile(key_file); key.ok()) {
    out.fleet_key_ = std::string(absl::StripAsciiWhitespace(*key));
    if (out.fleet_key_.size() < kMinKeyBytes) {
      reader.AddFault("fleet", "key_file", key_file,
                      "a file with at least 16 bytes");
    }
  }
  reader.RejectUnknownKeys();
  return out;
}

std::string Settings::Text(const std::string& section,
                           const std::string& key) const {
  auto it = texts_.find(QualifiedKey(section, key));
  return it == texts_.end() ? "" : it->second;
}

double Settings::Number(const std::string& section,
                        const std::string& key) const {
  return numbers_.at(QualifiedKey(section, key));
}

Millis Settings::Duration(const std::string& section,
                          const std::string& key) const {
  return Millis(static_cast<int64_t>(Number(section, key)));
}

std::vector<std::string> Settings::List(const std::string& section,
                                        const std::string& key) const {
  return lists_.at(QualifiedKey(section, key));
}

CoordinationTask::Options Settings::CoordinationOptions(
    uint64_t incarnation) const {
  CoordinationTask::Options out;
  out.self = InstanceId{Text("instance", "address"), incarnation};
  out.key = fleet_key_;
  out.log_url = Text("platform", "log_url");
  out.list_url = Text("platform", "list_url");
  out.peers = List("fleet", "peers");
  Coordinator::Options& options = out.coordinator;
  options.data_centre = Text("instance", "data_centre");
  options.shards = static_cast<uint32_t>(Number("fleet", "ledger_shards"));
  options.loads_per_minute =
      static_cast<size_t>(Number("fleet", "weight_loads_per_minute"));
  LedgerShard::Options& ledger = options.ledger;
  ledger.key_window = Duration("fleet", "key_window_ms");
  ledger.hold = Number("budget", "hold");
  ledger.cover = Duration("budget", "cover_ms");
  ledger.writer.min_batch_interval = Duration("log", "append_interval_ms");
  ledger.snapshot_records =
      static_cast<uint64_t>(Number("log", "snapshot_records"));
  ledger.keeper.reserve_wait = Duration("budget", "reserve_wait_ms");
  ledger.keeper.data_centres =
      static_cast<int64_t>(Number("fleet", "data_centres"));
  return out;
}

EntryTask::Options Settings::EntryOptions(uint64_t incarnation) const {
  EntryTask::Options out;
  out.incarnation = incarnation;
  out.data_centre = Text("instance", "data_centre");
  out.server.listen = Text("instance", "listen");
  out.server.certificate = Text("tls", "certificate");
  out.server.private_key = Text("tls", "private_key");
  out.seed = incarnation;
  EntryLimits& limits = out.server.limits;
  const auto count = [this](const char* key) {
    return static_cast<size_t>(Number("limits", key));
  };
  limits.max_body_bytes = count("max_body_bytes");
  limits.max_header_bytes = count("max_header_bytes");
  limits.max_tokens = static_cast<int64_t>(Number("limits", "max_tokens"));
  limits.max_streams = count("max_streams");
  limits.queue_length = count("queue_length");
  limits.queue_per_organisation = count("queue_per_organisation");
  limits.stream_buffer_bytes = count("stream_buffer_bytes");
  limits.slow_reader_timeout = Duration("limits", "slow_reader_ms");
  limits.idle_timeout = Duration("limits", "endpoint_idle_ms");
  limits.retry_ratio = Number("limits", "retry_ratio");
  // An entry waits 2.5 s longer for the keeper's reply than the keeper waits
  // for tokens.
  constexpr Millis kReplyMargin{2500};
  limits.reserve_timeout = Duration("budget", "reserve_wait_ms") + kReplyMargin;
  return out;
}

}  // namespace tamaracktrail
