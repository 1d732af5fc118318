#include "transport/peer_exchange.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "state/bounded_input_archive.h"
#include "transport/event_loop.h"
#include "transport/log_line.h"
#include "transport/metrics.h"
#include "transport/relay/caller_request.h"
#include "transport/relay/fixed_answer_task.h"
#include "transport/relay/http_fetch.h"

namespace tamaracktrail {

namespace {

constexpr char kConfigPath[] = "/config";
constexpr char kEvacuationsPath[] = "/evacuations";
constexpr char kEndpointsPath[] = "/endpoints";

//! Limit of simultaneous connections from peers. All other instances of a data
//! centre may connect at the same time, so their number has to stay below it.
constexpr int kMaxConnections = 256;

//! Requests of peers have no body.
constexpr uint64_t kMaxRequestBodyBytes = 1024;

//! Timeout of a fetch. It is sufficient, as a peer in the same region answers
//! within milliseconds.
constexpr Millis kFetchTimeout{700};

std::string Encode(const PeerExchange::Records& records) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(records);
  return out.str();
}

//! Throws cereal::Exception if `bytes` are not the archive of records. Reads
//! them one by one, so that no memory is reserved for records that don't
//! follow.
PeerExchange::Records Decode(const std::string& bytes) {
  BoundedInputArchive archive(bytes);
  cereal::size_type n = 0;
  archive(cereal::make_size_tag(n));
  PeerExchange::Records records;
  for (cereal::size_type i = 0; i < n; ++i) {
    archive(records.emplace_back());
  }
  return records;
}

//! A peer that has no records answers 404.
absl::StatusOr<PeerExchange::Records> ReadRecords(
    const absl::StatusOr<HttpFetch::Answer>& answer) {
  if (!answer.ok()) {
    return answer.status();
  }
  if (answer->status == 404) {
    return PeerExchange::Records();
  }
  if (answer->status != 200) {
    return absl::UnavailableError(
        absl::StrCat("the peer answered ", answer->status));
  }
  try {
    return Decode(answer->body);
  } catch (const std::exception&) {
    return absl::DataLossError("the records cannot be decoded");
  }
}

}  // namespace

PeerExchange::PeerExchange(EventLoop* loop,
                           EventLog* log,
                           Metrics* metrics,
                           int fd,
                           Hooks hooks,
                           ConnectionMemory* memory)
    : loop_(loop),
      log_(log),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      pool_(loop, [](uint64_t) {}),
      server_(std::make_unique<RelayServer>(
          loop,
          fd,
          kMaxConnections,
          [this](CallerConnection* connection, const CallerRequest& request) {
            const Records records = RecordsAt(request.target);
            return std::make_unique<FixedAnswerTask>(
                connection, records.empty() ? 404 : 200, Encode(records));
          },
          metrics,
          memory)) {
  CallerLimits limits;
  limits.max_body_bytes = kMaxRequestBodyBytes;
  server_->SetLimits(limits);
}

PeerExchange::~PeerExchange() = default;

PeerExchange::Records PeerExchange::RecordsAt(const std::string& path) const {
  const auto& serve = path == kConfigPath        ? hooks_.config
                      : path == kEvacuationsPath ? hooks_.evacuations
                      : path == kEndpointsPath   ? hooks_.endpoints
                                                 : nullptr;
  return serve == nullptr ? Records() : serve();
}

void PeerExchange::FetchConfig(const std::string& peer) {
  Fetch(peer, kConfigPath, &config_fetch_, hooks_.on_config);
}

void PeerExchange::FetchEvacuations(const std::string& peer) {
  Fetch(peer, kEvacuationsPath, &evacuation_fetch_, hooks_.on_evacuations);
}

void PeerExchange::FetchEndpoints(const std::string& peer) {
  Fetch(peer, kEndpointsPath, &endpoint_fetch_, hooks_.on_endpoints);
}

void PeerExchange::Fetch(const std::string& peer,
                         const char* path,
                         std::unique_ptr<HttpFetch>* fetch,
                         const std::function<void(const Records&)>& apply) {
  if (*fetch != nullptr) {
    return;
  }
  *fetch = std::make_unique<HttpFetch>(
      loop_, &pool_, peer, "GET", path, "", kFetchTimeout,
      [this, peer, path, fetch,
       apply](absl::StatusOr<HttpFetch::Answer> answer) {
        // Keeps the fetch alive until its own callback has returned.
        const auto done = std::move(*fetch);
        const absl::StatusOr<Records> records = ReadRecords(answer);
        if (!records.ok()) {
          metrics_->Count("peer_fetches_failed_total");
        }
        LogLine(log_, "peer_asked")
            .Add("peer", peer)
            .Add("what", path)
            .Add("records", records.ok() ? records->size() : 0)
            .AddQuoted("reason", std::string(records.status().message()));
        if (records.ok() && !records->empty()) {
          apply(*records);
        }
      });
}

}  // namespace tamaracktrail
