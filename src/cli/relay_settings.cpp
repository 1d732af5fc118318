#include "cli/relay_settings.h"

#include <cstdint>

#include "protocol/ini_reader.h"

namespace tamaracktrail {

namespace {

//! Descriptors: callers, endpoints and files need some hundreds at least.
constexpr int64_t kLeastDescriptors = 64;
constexpr int64_t kMostDescriptors = 1000000;

//! What the platform's smallest store takes, over all instances.
constexpr int64_t kDefaultReads = 2000;
constexpr int64_t kDefaultWrites = 800;
constexpr int64_t kMostCalls = 1000000;

constexpr int64_t kLeastGraceMs = 500;
constexpr int64_t kDefaultGraceMs = 8000;
constexpr int64_t kMostGraceMs = 600000;

constexpr double kMostRetryExtra = 1e6;

std::string Address(IniReader* ini, const char* section, const char* key) {
  const std::string text = ini->String(section, key, true).value_or("");
  if (!text.empty() && !IsAddress(text)) {
    ini->AddFault(section, key, text, "an address as IP:port");
  }
  return text;
}

}  // namespace

RelaySettings RelaySettings::Parse(const std::string& path,
                                   const std::string& text,
                                   std::vector<SettingFault>* faults) {
  IniReader ini(path, text, faults);
  RelaySettings settings;
  settings.instance = ini.String("instance", "name", true).value_or("");
  if (settings.instance.find('/') != std::string::npos) {
    ini.AddFault("instance", "name", settings.instance, "a name without /");
  }
  settings.data_centre =
      ini.String("instance", "data_centre", true).value_or("");
  settings.callers_address = Address(&ini, "listen", "callers");
  settings.health_address = Address(&ini, "listen", "health");
  settings.peers_address = Address(&ini, "listen", "peers");
  settings.metrics_address = Address(&ini, "listen", "metrics");
  settings.store_address = Address(&ini, "store", "address");
  settings.store_reads = static_cast<int>(
      ini.Integer("store", "reads_per_s", kDefaultReads, 1, kMostCalls));
  settings.store_writes = static_cast<int>(
      ini.Integer("store", "writes_per_s", kDefaultWrites, 1, kMostCalls));
  settings.file_descriptors = static_cast<int>(ini.Integer(
      "limits", "file_descriptors", 1024, kLeastDescriptors, kMostDescriptors));
  settings.grace = Millis(ini.Integer("limits", "grace_ms", kDefaultGraceMs,
                                      kLeastGraceMs, kMostGraceMs));
  settings.retry_ratio = ini.Number("retries", "ratio", 0.2, 0, 1);
  settings.retry_extra = ini.Number("retries", "extra", 0, 0, kMostRetryExtra);
  ini.CheckNoOthers();
  return settings;
}

}  // namespace tamaracktrail
