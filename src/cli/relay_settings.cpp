#include "cli/relay_settings.h"

#include <cstdint>

#include "protocol/ini_reader.h"

namespace tamaracktrail {

namespace {

//! Range of the descriptor setting. The front reserves 400 descriptors and
//! admits at least 16 connections per listener, so the setting has an effect
//! from 434 on.
constexpr int64_t kMinDescriptors = 64;
constexpr int64_t kMaxDescriptors = 1000000;

//! Call rates that the platform's smallest store accepts from all instances
//! together.
constexpr int64_t kDefaultReadsPerS = 2000;
constexpr int64_t kDefaultWritesPerS = 800;
constexpr int64_t kMaxCallsPerS = 1000000;

//! Width of the widest link that can be set, Mbit/s.
constexpr double kMaxLinkMbps = 1e6;

//! Memory of the machine, MB. A quarter is for connections, which at the
//! default holds 32 of the largest bodies of the default limits.
constexpr int64_t kMinMemoryMb = 64;
constexpr int64_t kDefaultMemoryMb = 512;
constexpr int64_t kMaxMemoryMb = 1000000;

constexpr int64_t kMinGraceMs = 500;
constexpr int64_t kDefaultGraceMs = 8000;
constexpr int64_t kMaxGraceMs = 600000;

//! Upper limit of the accumulated retries that can be set.
constexpr double kMaxRetryExtra = 1e6;

//! Range of the time to which the retry limits apply, in seconds.
constexpr double kMinRetryWindow = 0.1;
constexpr double kDefaultRetryWindow = 10;
constexpr double kMaxRetryWindow = 3600;

//! Range of what a cold endpoint may get beyond what it tolerates.
constexpr double kMinColdOverage = 0.1;
constexpr double kMaxColdOverage = 100;
constexpr double kMaxColdTolerance = 10000;

std::string ReadAddress(IniReader* ini, const char* section, const char* key) {
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
  // Budget records have the key "INSTANCE/ORGANISATION".
  if (settings.instance.find('/') != std::string::npos) {
    ini.AddFault("instance", "name", settings.instance, "a name without /");
  }
  settings.data_centre =
      ini.String("instance", "data_centre", true).value_or("");
  settings.callers_address = ReadAddress(&ini, "listen", "callers");
  settings.health_address = ReadAddress(&ini, "listen", "health");
  settings.peers_address = ReadAddress(&ini, "listen", "peers");
  settings.metrics_address = ReadAddress(&ini, "listen", "metrics");
  settings.first_start = ini.Integer("instance", "first_start", 0, 0, 1) == 1;
  settings.store_address = ReadAddress(&ini, "store", "address");
  settings.store_reads_per_s = static_cast<int>(
      ini.Integer("store", "reads_per_s", kDefaultReadsPerS, 1, kMaxCallsPerS));
  settings.store_writes_per_s = static_cast<int>(ini.Integer(
      "store", "writes_per_s", kDefaultWritesPerS, 1, kMaxCallsPerS));
  settings.file_descriptors = static_cast<int>(ini.Integer(
      "limits", "file_descriptors", 1024, kMinDescriptors, kMaxDescriptors));
  settings.link_mbps = ini.Number("limits", "link_mbps", 0, 0, kMaxLinkMbps);
  settings.memory_mb = static_cast<int>(ini.Integer(
      "limits", "memory_mb", kDefaultMemoryMb, kMinMemoryMb, kMaxMemoryMb));
  settings.grace_period = Millis(ini.Integer(
      "limits", "grace_ms", kDefaultGraceMs, kMinGraceMs, kMaxGraceMs));
  settings.retries.ratio = ini.Number("retries", "ratio", 0.2, 0, 1);
  settings.retries.extra = ini.Number("retries", "extra", 0, 0, kMaxRetryExtra);
  settings.retries.window =
      kSecond.Scaled(ini.Number("retries", "window_s", kDefaultRetryWindow,
                                kMinRetryWindow, kMaxRetryWindow));
  settings.cold_start.overage =
      ini.Number("cold_start", "overage", settings.cold_start.overage,
                 kMinColdOverage, kMaxColdOverage);
  settings.cold_start.tolerance =
      ini.Number("cold_start", "tolerance", settings.cold_start.tolerance, 0,
                 kMaxColdTolerance);
  for (const std::string& it : ini.Keys("data_centres")) {
    const std::string region = ini.String("data_centres", it).value_or("");
    if (region.empty()) {
      ini.AddFault("data_centres", it, region, "the name of a region");
    }
    settings.regions[it] = region;
  }
  ini.RejectUnknownKeys();
  return settings;
}

}  // namespace tamaracktrail
