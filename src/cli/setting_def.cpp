#include "cli/setting_def.h"

namespace tamaracktrail {

namespace {

using Kind = SettingDef::Kind;

constexpr double kDayMs = 24.0 * 3600 * 1000;
constexpr double kHourMs = 3600.0 * 1000;
constexpr double kMinuteMs = 60.0 * 1000;

constexpr SettingDef kSettings[] = {
    {"instance", "address", Kind::kAddress, true, 0, 0, 0,
     "IP:port of this instance for its peers, TCP and UDP."},
    {"instance", "listen", Kind::kAddress, true, 0, 0, 0,
     "IP:port for callers."},
    {"instance", "data_centre", Kind::kText, true, 0, 0, 0,
     "Name of this instance's data centre."},
    {"fleet", "key_file", Kind::kFile, true, 0, 0, 0,
     "File with the shared key of the fleet; the same for all instances."},
    {"fleet", "peers", Kind::kList, false, 0, 0, 0,
     "Peer addresses of this data centre that are always tried."},
    {"fleet", "data_centres", Kind::kInteger, false, 1, 1, 64,
     "Number of data centres that share the budgets."},
    {"fleet", "ledger_shards", Kind::kInteger, false, 8, 1, 1024,
     "Ledger streams; the same for all instances, for ever."},
    {"fleet", "key_window_ms", Kind::kInteger, false, kDayMs, kMinuteMs,
     30 * kDayMs,
     "How long request keys are remembered; the same for all instances."},
    {"fleet", "weight_loads_per_minute", Kind::kInteger, false, 60, 1, 10000,
     "Load orders a minute in the whole fleet; the same for all instances."},
    {"platform", "log_url", Kind::kUrl, true, 0, 0, 0, "The platform's log."},
    {"platform", "list_url", Kind::kUrl, false, 0, 0, 0,
     "The platform's list of instances."},
    {"limits", "max_body_bytes", Kind::kInteger, false, 1048576, 1024, 67108864,
     "Largest body of a request."},
    {"limits", "max_header_bytes", Kind::kInteger, false, 32768, 1024, 65536,
     "Largest headers of a request."},
    {"limits", "max_tokens", Kind::kInteger, false, 16384, 1, 1000000,
     "Largest max_tokens of a request."},
    {"limits", "max_streams", Kind::kInteger, false, 512, 1, 100000,
     "Requests open at once."},
    {"limits", "queue_length", Kind::kInteger, false, 256, 1, 100000,
     "Requests that wait for an endpoint."},
    {"limits", "queue_per_organisation", Kind::kInteger, false, 128, 1, 100000,
     "Requests of one organisation that wait for an endpoint."},
    {"limits", "stream_buffer_bytes", Kind::kInteger, false, 262144, 4096,
     67108864, "Unread bytes of a stream before its endpoint is held back."},
    {"limits", "slow_reader_ms", Kind::kInteger, false, 15000, 100, kHourMs,
     "Time without a byte read before a stream is ended."},
    {"limits", "endpoint_idle_ms", Kind::kInteger, false, 30000, 100, kHourMs,
     "Time without a byte from an endpoint before its call is given up."},
    {"limits", "retry_ratio", Kind::kNumber, false, 0.1, 0, 1,
     "Retries that each request adds to the retry budget."},
    {"budget", "hold", Kind::kNumber, false, 0.5, 0, 1,
     "Part of an even split held in advance of demand. Low: few tokens are "
     "idle in the wrong data centre. High: a cut-off data centre serves "
     "longer."},
    {"budget", "cover_ms", Kind::kInteger, false, 600000, 0, 30 * kDayMs,
     "Time for which the tokens held in advance should cover the recent "
     "demand."},
    {"budget", "reserve_wait_ms", Kind::kInteger, false, 2000, 0, 60000,
     "Longest wait for tokens before a request is refused."},
    {"log", "append_interval_ms", Kind::kInteger, false, 100, 5, 60000,
     "Shortest time between two appends to one stream."},
    {"log", "snapshot_records", Kind::kInteger, false, 5000, 10, 100000000,
     "Records of a stream between two snapshots."},
    {"tls", "certificate", Kind::kFile, false, 0, 0, 0,
     "PEM certificate for callers; without it they use plain HTTP."},
    {"tls", "private_key", Kind::kFile, false, 0, 0, 0,
     "PEM key of the certificate."},
    {"shutdown", "deadline_ms", Kind::kInteger, false, 120000, 100, kHourMs,
     "Longest graceful shutdown."},
};

}  // namespace

std::span<const SettingDef> AllSettings() {
  return kSettings;
}

}  // namespace tamaracktrail
